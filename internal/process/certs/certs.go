// Package certs provides mutual TLS configurations that reload the certificate when
// its files change, without closing established connections.
package certs

import (
	"bytes"
	"crypto/ed25519"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"cairnbay"
)

// reloadPeriod is the interval between checks of the files for changes.
const reloadPeriod = 10 * time.Second

// Config configures a Keeper. Log receives a warning for each failed periodic
// reload and must not be nil.
type Config struct {
	CertificateFile string
	KeyFile         string
	AuthorityFile   string
	Clock           cairnbay.Clock
	Log             *logrus.Entry
}

// material is the content of the files when last loaded.
type material struct {
	certificatePEM []byte
	keyPEM         []byte
	authorityPEM   []byte
	certificate    tls.Certificate
	authority      *x509.CertPool
}

// Keeper holds the current certificate, key and authority, and reloads them when
// their files change.
type Keeper struct {
	config Config
	cancel func()

	mu      sync.RWMutex
	current *material
}

// New reads the files and starts the periodic reload. Errors: ErrInvalid with the
// name of the file.
func New(config Config) (*Keeper, error) {
	keeper := &Keeper{config: config}
	if err := keeper.Reload(); err != nil {
		return nil, err
	}
	keeper.cancel = config.Clock.Every(reloadPeriod, func(time.Duration) {
		if err := keeper.Reload(); err != nil {
			config.Log.WithError(err).Warn("TLS files not reloaded, the previous certificate, key and authority stay in use")
		}
	})
	return keeper, nil
}

// Close stops the periodic reload. Configurations returned before remain usable
// with the files loaded last.
func (k *Keeper) Close() {
	k.cancel()
}

// Reload reads the files immediately. On an error the certificate, key and authority
// loaded before stay in use. Errors: ErrInvalid with the name of the file.
func (k *Keeper) Reload() error {
	loaded, err := k.read()
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && sameMaterial(k.current, loaded) {
		return nil
	}
	k.current = loaded
	return nil
}

func (k *Keeper) read() (*material, error) {
	loaded := &material{}
	for _, file := range []struct {
		name   string
		target *[]byte
	}{
		{k.config.CertificateFile, &loaded.certificatePEM},
		{k.config.KeyFile, &loaded.keyPEM},
		{k.config.AuthorityFile, &loaded.authorityPEM},
	} {
		content, err := os.ReadFile(file.name)
		if err != nil {
			return nil, errors.Annotatef(cairnbay.ErrInvalid, "file %q: %v", file.name, err)
		}
		*file.target = content
	}
	certificate, err := tls.X509KeyPair(loaded.certificatePEM, loaded.keyPEM)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "certificate %q: %v", k.config.CertificateFile, err)
	}
	loaded.certificate = certificate
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(loaded.authorityPEM) {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "authority %q contains no certificate", k.config.AuthorityFile)
	}
	return loaded, nil
}

func sameMaterial(a, b *material) bool {
	return bytes.Equal(a.certificatePEM, b.certificatePEM) &&
		bytes.Equal(a.keyPEM, b.keyPEM) &&
		bytes.Equal(a.authorityPEM, b.authorityPEM)
}

func (k *Keeper) currentMaterial() *material {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return k.current
}

// Server returns a configuration for a listener that requires from each peer a
// certificate signed by the authority. Each handshake uses the current material.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2", "http/1.1"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := k.currentMaterial()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{"h2", "http/1.1"},
				Certificates: []tls.Certificate{current.certificate},
				ClientCAs:    current.authority,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// Client returns a configuration for dialling a peer by IP. The peer's certificate
// chain is verified against the current authority. Its name is not verified,
// since members are addressed by IPs that change with each replacement.
func (k *Keeper) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.currentMaterial().certificate, nil
		},
		// The default verification requires a matching host name; VerifyConnection
		// verifies only the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   k.verify,
	}
}

// verify checks the peer's certificate chain against the current authority.
// Errors: ErrForbidden if the peer sent no certificate, else the error of x509.
func (k *Keeper) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) == 0 {
		return errors.Annotate(cairnbay.ErrForbidden, "peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.currentMaterial().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Trace(err)
}

// ReadSigningKey reads an Ed25519 private key in PKCS #8 from a PEM file.
// Errors: ErrInvalid with the name of the file.
func ReadSigningKey(file string) (ed25519.PrivateKey, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "file %q: %v", file, err)
	}
	block, _ := pem.Decode(content)
	if block == nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "signing key %q contains no PEM block", file)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "signing key %q: %v", file, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Annotatef(cairnbay.ErrInvalid, "signing key %q is not an Ed25519 key", file)
	}
	return key, nil
}
