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

// Security selects how VMs authenticate each other: with mutual TLS, or not at all
// on loopback and on private networks. The zero value rejects every connection.
type Security struct {
	plaintext bool
	// private allows plaintext on addresses other than loopback.
	private     bool
	certificate tls.Certificate
	authority   *x509.CertPool
}

// Plaintext returns the mode without TLS. It allows only loopback addresses.
func Plaintext() Security { return Security{plaintext: true} }

// PrivateNetwork returns the mode without TLS for networks that only the VMs of this
// system can reach and where the platform provides no certificates.
func PrivateNetwork() Security { return Security{plaintext: true, private: true} }

// MutualTLS returns the mode in which both sides present a certificate signed by
// authority. A certificate must include the IP address of its VM.
func MutualTLS(certificate tls.Certificate, authority *x509.CertPool) Security {
	return Security{certificate: certificate, authority: authority}
}

// LoadMutualTLS returns MutualTLS with the contents of PEM files.
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

// check returns an error if the address is not IP:port or is not allowed by the
// mode.
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

// client wraps a dialed connection to address, which must have passed check.
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
