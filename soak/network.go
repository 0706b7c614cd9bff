package main

import (
	"fmt"
	"net"
)

const (
	// networks is the number of loopback networks among which runs choose, and firstNetwork the first one.
	networks     = 200
	firstNetwork = 20
	// guardHost and guardPort are the address that a run listens on while it uses a network.
	guardHost = 254
	guardPort = 7999
)

// network is a loopback network of up to 253 hosts that one run uses. Runs at the same time, of this
// process or of others, have different ones.
type network struct {
	number int
	guard  net.Listener
}

// reserveNetwork reserves the first free network, beginning with that of the seed.
func reserveNetwork(seed uint64) (*network, error) {
	var err error
	for i := range uint64(networks) {
		number := firstNetwork + int((seed+i)%networks)
		var guard net.Listener
		guard, err = net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", number, guardHost, guardPort))
		if err == nil {
			return &network{number: number, guard: guard}, nil
		}
	}
	return nil, fmt.Errorf("reserve a loopback network: %w", err)
}

// address returns the IP address of a host of the network.
func (n *network) address(host int) string {
	return fmt.Sprintf("127.0.%d.%d", n.number, host)
}

// Close frees the network.
func (n *network) Close() error {
	return n.guard.Close()
}
