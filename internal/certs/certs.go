// Package certs makes the certificates with which entry VMs authenticate each
// other: an authority, and one certificate for each VM's IP address.
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
	authorityLife = 10 * 365 * 24 * time.Hour
	vmLife        = 365 * 24 * time.Hour
	// clockSkew lets a VM whose clock is behind accept a new certificate.
	clockSkew = time.Hour
)

// The files of an authority.
const (
	AuthorityFile    = "authority.pem"
	AuthorityKeyFile = "authority-key.pem"
)

// NewAuthority writes a new authority into dir. It never replaces one.
func NewAuthority(dir string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make the key: %w", err)
	}
	template, err := newTemplate("oriolefront authority", authorityLife)
	if err != nil {
		return err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return write(dir, AuthorityFile, AuthorityKeyFile, template, template, key, key)
}

// Issue writes IP.pem and IP-key.pem into dir, signed by the authority there.
func Issue(dir, ip string) error {
	address := net.ParseIP(ip)
	if address == nil {
		return fmt.Errorf("address: found %q, allowed: an IP address", ip)
	}
	authority, authorityKey, err := load(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("make the key: %w", err)
	}
	template, err := newTemplate(ip, vmLife)
	if err != nil {
		return err
	}
	template.IPAddresses = []net.IP{address}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	// Each VM is a server to some peers and a client of others.
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	return write(dir, ip+".pem", ip+"-key.pem", template, authority, key, authorityKey)
}

func newTemplate(name string, life time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("make the serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(life),
	}, nil
}

func load(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certificate, err := readBlock(filepath.Join(dir, AuthorityFile))
	if err != nil {
		return nil, nil, err
	}
	key, err := readBlock(filepath.Join(dir, AuthorityKeyFile))
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

func readBlock(file string) ([]byte, error) {
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

// write signs a certificate and writes it and its key. Existing files stay.
func write(dir, certificateFile, keyFile string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) error {
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
	if err := writeBlock(filepath.Join(dir, keyFile), "EC PRIVATE KEY", encoded, 0o600); err != nil {
		return err
	}
	return writeBlock(filepath.Join(dir, certificateFile), "CERTIFICATE", certificate, 0o644)
}

func writeBlock(file, kind string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	return errors.Join(pem.Encode(f, &pem.Block{Type: kind, Bytes: data}), f.Close())
}
