package track

import (
	"context"
	"time"
)

// ConfigPosition says how far an instance has followed the configuration.
type ConfigPosition struct {
	Instance InstanceID
	// Known is unset while the instance has no configuration at all.
	Known bool
	// Version counts the accepted changes, Seq the decided ones.
	Version uint64
	Seq     uint64
	// Checksum is the hexadecimal SHA-256 of the state's canonical bytes.
	Checksum string
	// Age is the time since the instance knew that nothing newer existed.
	Age time.Duration
}

// ConfigUpdate is an answer to a peer that asked for newer configuration.
type ConfigUpdate struct {
	Position ConfigPosition
	// Records holds the decided changes after the asker's position, in order and
	// encoded as in the log.
	Records [][]byte
	// State is the whole state, encoded as a snapshot record of the log. It is
	// sent if the records no longer reach back to the asker's position.
	State []byte
	// Next is the offset in the log up to which the position has been read.
	Next uint64
}

// ConfigPeer is the port through which instances hand each other the newest
// configuration.
type ConfigPeer interface {
	// FetchUpdate returns the peer's position and what the asker lacks to reach it.
	FetchUpdate(ctx context.Context, since ConfigPosition) (ConfigUpdate, error)
}

// ConfigContact is a live instance that can be asked for configuration.
type ConfigContact struct {
	Instance Instance
	Peer     ConfigPeer
}

// ConfigPeers is the port to the other live instances, as membership knows them.
type ConfigPeers interface {
	// Contacts returns the peers to ask regularly.
	Contacts() []ConfigContact
	// AllContacts returns all other live instances that are known, entries and agents
	// alike.
	AllContacts() []ConfigContact
}
