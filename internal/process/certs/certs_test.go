package certs_test

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cairnbay/internal/fake/clock"
	"cairnbay/internal/fake/issuer"
	"cairnbay/internal/process/certs"
)

func TestCerts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "certs")
}

// issueFiles writes a new certificate and key to a folder and returns a
// configuration that names them.
func issueFiles(authority issuer.Authority, folder, name string) certs.Config {
	files := authority.Issue(folder, name)
	return certs.Config{
		CertificateFile: files.Certificate, KeyFile: files.Key, AuthorityFile: files.Authority, Clock: clock.New(),
	}
}

func newKeeper(config certs.Config) *certs.Keeper {
	keeper, err := certs.New(config)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(keeper.Close)
	return keeper
}

var _ = Describe("Keeper", func() {
	serve := func(keeper *certs.Keeper) *httptest.Server {
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, r.TLS.PeerCertificates[0].Subject.CommonName)
		}))
		server.TLS = keeper.Server()
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		server.StartTLS()
		DeferCleanup(server.Close)
		return server
	}
	get := func(ctx context.Context, url string, config *tls.Config) (string, error) {
		client := &http.Client{Transport: &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
		Expect(err).NotTo(HaveOccurred())
		response, err := client.Do(request)
		if err != nil {
			return "", err
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}

	It("accepts only peers with a certificate of the authority, as server and as client", func(ctx context.Context) {
		trusted, untrusted := issuer.New(), issuer.New()
		server := serve(newKeeper(issueFiles(trusted, GinkgoT().TempDir(), "server")))

		name, err := get(ctx, server.URL, newKeeper(issueFiles(trusted, GinkgoT().TempDir(), "member")).Client())
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("member"))

		_, err = get(ctx, server.URL, newKeeper(issueFiles(untrusted, GinkgoT().TempDir(), "untrusted")).Client())
		Expect(err).To(HaveOccurred())
		_, err = get(ctx, server.URL, &tls.Config{InsecureSkipVerify: true})
		Expect(err).To(HaveOccurred())
	})

	It("uses a replaced certificate after Reload, and keeps it when the key file becomes invalid", func(ctx context.Context) {
		trusted := issuer.New()
		folder := GinkgoT().TempDir()
		server := serve(newKeeper(issueFiles(trusted, GinkgoT().TempDir(), "server")))
		config := issueFiles(trusted, folder, "old")
		keeper := newKeeper(config)
		issueFiles(trusted, folder, "new")
		Expect(keeper.Reload()).To(Succeed())
		name, err := get(ctx, server.URL, keeper.Client())
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("new"))

		Expect(os.WriteFile(config.KeyFile, []byte("broken"), 0o600)).To(Succeed())
		Expect(keeper.Reload()).NotTo(Succeed())
		name, err = get(ctx, server.URL, keeper.Client())
		Expect(err).NotTo(HaveOccurred())
		Expect(name).To(Equal("new"))
	})
})
