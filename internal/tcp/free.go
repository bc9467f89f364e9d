package tcp

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
)

// Free ports come from below the range that Linux gives to outgoing
// connections (32768 and above by default). A port of that range may be taken
// by such a connection between the choice and the listen.
const (
	firstFreePort = 20_000
	freePorts     = 12_000
	freeTries     = 100
)

// claims holds the UDP ports by which this process keeps others from choosing
// the TCP ports of the same numbers. They end with the process.
var (
	claimsMu sync.Mutex
	claims   []net.PacketConn
)

// ReserveLoopbackAddress returns a loopback address that nobody listens on, for tests and
// experiments that must know an address before they listen. No other call, in
// this process or another, returns it while this process lives: several test
// binaries run at one time, and a port that two of them chose failed the later
// one with "address already in use".
func ReserveLoopbackAddress() (string, error) {
	for range freeTries {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts))
		free, err := claim(address)
		if err != nil {
			return "", err
		}
		if free {
			return address, nil
		}
	}
	return "", errors.New("no free loopback port was found")
}

// claim takes an address for this process, and reports false when another
// process has claimed it or listens on it.
func claim(address string) (bool, error) {
	hold, err := net.ListenPacket("udp", address)
	if errors.Is(err, syscall.EADDRINUSE) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		hold.Close()
		if errors.Is(err, syscall.EADDRINUSE) {
			return false, nil
		}
		return false, err
	}
	claimsMu.Lock()
	defer claimsMu.Unlock()
	claims = append(claims, hold)
	return true, listener.Close()
}
