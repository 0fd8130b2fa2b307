// Package certtest issues certificates for tests.
package certtest

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
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/amaranthweir/amaranthweir/internal/certs"
)

// CA is a certificate authority for tests.
type CA struct {
	File string // path of the CA certificate

	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// NewCA returns a new CA that writes its files to a temporary folder of the test.
func NewCA(t testing.TB) *CA {
	t.Helper()
	ca := &CA{folder: t.TempDir()}
	ca.File = filepath.Join(ca.folder, "ca.crt")
	template := ca.template("test CA")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	var raw []byte
	raw, ca.key = sign(t, template, template, nil)
	cert, err := x509.ParseCertificate(raw)
	assert.NilError(t, err)
	ca.cert = cert
	writePEM(t, ca.File, "CERTIFICATE", raw)
	return ca
}

func (ca *CA) template(name string) *x509.Certificate {
	ca.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(ca.serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

// sign returns a certificate and its new key. Without parentKey, the certificate
// is self-signed.
func sign(t testing.TB, template, parent *x509.Certificate, parentKey *ecdsa.PrivateKey) ([]byte, *ecdsa.PrivateKey) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	if parentKey == nil {
		parentKey = key
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	assert.NilError(t, err)
	return raw, key
}

// Issue writes a certificate for a DNS name and 127.0.0.1, and its key, and
// returns the file names. Issuing a certificate for the same name again replaces
// the files.
func (ca *CA) Issue(t testing.TB, name string) certs.Files {
	t.Helper()
	template := ca.template("")
	template.DNSNames = []string{name}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	raw, key := sign(t, template, ca.cert, ca.key)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	f := certs.Files{Certificate: filepath.Join(ca.folder, name+".crt"), Key: filepath.Join(ca.folder, name+".key"), CA: ca.File}
	writePEM(t, f.Certificate, "CERTIFICATE", raw)
	writePEM(t, f.Key, "PRIVATE KEY", der)
	return f
}

func writePEM(t testing.TB, file, blockType string, der []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600))
}
