package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
)

// Security says how VMs authenticate each other: with mutual TLS, or not at all
// on loopback. The zero value refuses every connection.
type Security struct {
	plaintext bool
	// private allows plaintext beyond loopback.
	private     bool
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Plaintext returns the mode without TLS. It works on loopback addresses only.
func Plaintext() Security { return Security{plaintext: true} }

// PrivateNetwork returns the mode without TLS for networks that only the VMs of
// this system can reach, where the platform hands out no certificates.
func PrivateNetwork() Security { return Security{plaintext: true, private: true} }

// MutualTLS returns the mode in which both sides present a certificate signed
// by authority. The certificate must name the IP address of its VM.
func MutualTLS(certificate tls.Certificate, authority *x509.CertPool) Security {
	return Security{certificate: certificate, authority: authority}
}

// LoadMutualTLS reads PEM files for MutualTLS.
func LoadMutualTLS(certificateFile, keyFile, authorityFile string) (Security, error) {
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return Security{}, fmt.Errorf("load peer certificate: %w", err)
	}
	pem, err := os.ReadFile(authorityFile)
	if err != nil {
		return Security{}, fmt.Errorf("load peer authority: %w", err)
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(pem) {
		return Security{}, fmt.Errorf("load peer authority: %s holds no certificate", authorityFile)
	}
	return MutualTLS(certificate, authority), nil
}

// check refuses an address that is no IP:port or that the mode does not allow.
func (s Security) check(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("peer address %q is not IP:port: %w", address, err)
	}
	if s.plaintext && !s.private && !parsed.Addr().IsLoopback() {
		return fmt.Errorf("peer address %s: plaintext is allowed on loopback only; configure mutual TLS", address)
	}
	if !s.plaintext && s.authority == nil {
		return errors.New("neither mutual TLS nor plaintext is configured for peers")
	}
	return nil
}

// server wraps an accepted connection.
func (s Security) server(c net.Conn) net.Conn {
	if s.plaintext {
		return c
	}
	return tls.Server(c, &tls.Config{
		Certificates: []tls.Certificate{s.certificate},
		ClientCAs:    s.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	})
}

// client wraps a dialled connection to address, which check has accepted.
func (s Security) client(c net.Conn, address string) net.Conn {
	if s.plaintext {
		return c
	}
	return tls.Client(c, &tls.Config{
		Certificates: []tls.Certificate{s.certificate},
		RootCAs:      s.authority,
		ServerName:   netip.MustParseAddrPort(address).Addr().String(),
		MinVersion:   tls.VersionTLS13,
	})
}
