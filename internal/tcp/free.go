package tcp

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// Ports are chosen below the ephemeral port range of Linux (32768 and above by
// default). A port of that range may be taken by an outgoing connection between its
// choice and the listen.
const (
	firstFreePort      = 20_000
	freePortCount      = 12_000
	maxReserveAttempts = 100
)

// reservations holds UDP sockets. Each prevents other processes from choosing the
// TCP port of the same number, until this process exits.
var (
	reservationsMu sync.Mutex
	reservations   []net.PacketConn
)

// ReserveLoopbackAddress returns a loopback address on which nothing listens, for
// tests and experiments that must know an address before they listen. No other
// call, in this process or another, returns the same address while this process
// runs. Several test binaries run at the same time; if two of them chose the same
// port, one would fail with "address already in use".
func ReserveLoopbackAddress() (string, error) {
	listener, err := ListenReserved()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// ListenReserved listens on an address that ReserveLoopbackAddress could have returned. After the
// listener is closed, no test gets the address again, so that calls which go on to it are refused
// and don't reach the stand-in of another test.
func ListenReserved() (net.Listener, error) {
	for range maxReserveAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePortCount))
		listener, err := reserve(address)
		if err != nil || listener != nil {
			return listener, err
		}
	}
	return nil, errors.New("no free loopback port was found")
}

// reserve reserves an address for this process and listens on it. It returns nil if the address
// is reserved already or something listens on it.
func reserve(address string) (net.Listener, error) {
	reservation, err := net.ListenPacket("udp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		reservation.Close()
		if errors.Is(err, syscall.EADDRINUSE) {
			return nil, nil
		}
		return nil, err
	}
	reservationsMu.Lock()
	defer reservationsMu.Unlock()
	reservations = append(reservations, reservation)
	return listener, nil
}
