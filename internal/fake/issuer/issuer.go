// Package issuer makes certificates for tests of mutual TLS.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/gomega"
)

// Files are the PEM files of one certificate.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// Authority signs certificates.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New makes an authority that is valid for an hour.
func New() Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return Authority{certificate: certificate, key: key}
}

// Issue writes a certificate for 127.0.0.1 with a common name, its key and the
// authority to a folder.
func (a Authority) Issue(folder, name string) Files {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	files := Files{
		Certificate: filepath.Join(folder, "certificate.pem"),
		Key:         filepath.Join(folder, "key.pem"),
		Authority:   filepath.Join(folder, "authority.pem"),
	}
	writePEM(files.Certificate, "CERTIFICATE", der)
	writePEM(files.Key, "PRIVATE KEY", keyDER)
	writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func writePEM(name, kind string, der []byte) {
	content := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	gomega.Expect(os.WriteFile(name, content, 0o600)).To(gomega.Succeed())
}
