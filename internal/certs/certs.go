// Package certs creates the certificates with which entry VMs authenticate each
// other: a certificate authority, and one certificate per VM for its IP address.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	vmValidity        = 365 * 24 * time.Hour
	// clockSkew dates certificates back, so that a VM whose clock is behind accepts
	// a new one.
	clockSkew = time.Hour
)

// The files of a certificate authority.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
)

// NewAuthority creates a certificate authority in dir. It never overwrites an
// existing one.
func NewAuthority(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make the key: %w", err)
	}
	template, err := newTemplate("oriolefront authority", authorityValidity)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return writeSigned(dir, AuthorityFile, AuthorityKeyFile, template, template, key, key)
}

// Issue creates IP.pem and IP-key.pem in dir, signed by the authority in dir.
func Issue(dir, ip string) error {
	address := net.ParseIP(ip)
	if address == nil {
		return fmt.Errorf("address: found %q, allowed: an IP address", ip)
	}
	authority, authorityKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make the key: %w", err)
	}
	template, err := newTemplate(ip, vmValidity)
	if err != nil {
		return err
	}
	template.IPAddresses = []net.IP{address}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	// Each VM is both a server and a client of its peers.
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return writeSigned(dir, ip+".pem", ip+"-key.pem", template, authority, key, authorityKey)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("make the serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readPEM(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := readPEM(filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return nil, nil, err
	}
	parsed, err := x509.ParseCertificate(certificate)
	if err != nil {
		return nil, nil, fmt.Errorf("read the authority: %w", err)
	}
	parsedKey, err := x509.ParseECPrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("read the key of the authority: %w", err)
	}
	return parsed, parsedKey, nil
}

func readPEM(file string) ([]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, fmt.Errorf("%s holds no PEM block", file)
	}
	return block.Bytes, nil
}

// writeSigned signs a certificate and writes it and its key. It never overwrites
// existing files.
func writeSigned(dir, certificateFile, keyFile string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
	certificate, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return fmt.Errorf("sign the certificate: %w", err)
	}
	encoded, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode the key: %w", err)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	if err := writePEM(filepath.Join(dir, keyFile), "EC PRIVATE KEY", encoded, 0o600); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certificateFile), "CERTIFICATE", certificate, 0o644)
}

func writePEM(file, kind string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	return errors.Join(pem.Encode(f, &pem.Block{Type: kind, Bytes: data}), f.Close())
}
