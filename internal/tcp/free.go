package tcp

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
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

// FreeLoopback returns a loopback address that nobody listens on at present,
// for tests and experiments that must know an address before they listen.
func FreeLoopback() (string, error) {
	for range freeTries {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(freePorts)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
	return "", errors.New("no free loopback port was found")
}
