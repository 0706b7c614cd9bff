package track

import (
	"context"
	"time"
)

// ConfigPosition is the position that an instance has reached in the stream of
// configuration changes.
type ConfigPosition struct {
	Instance InstanceID
	// Known is false while the instance has no configuration at all.
	Known bool
	// Version counts the accepted changes, Seq those that were accepted or refused.
	Version uint64
	Seq     uint64
	// Checksum is the hexadecimal SHA-256 of the state's canonical bytes.
	Checksum string
	// Age is the time since the instance last knew that it had the newest configuration.
	Age time.Duration
}

// ConfigUpdate is the response to a peer that asked for newer configuration.
type ConfigUpdate struct {
	Position ConfigPosition
	// Records holds the changes after the position of the requesting instance, in
	// order and encoded as in the log.
	Records [][]byte
	// State is the whole state, encoded as a snapshot record of the log. It is
	// sent if the records kept no longer reach back to the position of the
	// requesting instance.
	State []byte
	// Next is the offset in the log of the first record that Position doesn't cover.
	Next uint64
}

// ConfigPeer is the interface through which instances ask each other for newer
// configuration.
type ConfigPeer interface {
	// FetchUpdate returns the peer's position and the records or the state that are needed to
	// get there from position since.
	FetchUpdate(ctx context.Context, since ConfigPosition) (ConfigUpdate, error)
}

// ConfigContact is a live instance together with the client to ask it for
// configuration.
type ConfigContact struct {
	Instance Instance
	Peer     ConfigPeer
}

// ConfigPeers lists the other live instances, as membership knows them.
type ConfigPeers interface {
	// Contacts returns the instances to ask at regular intervals.
	Contacts() []ConfigContact
	// AllContacts returns all other live instances, both entries and agents.
	AllContacts() []ConfigContact
}
