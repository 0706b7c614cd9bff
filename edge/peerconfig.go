package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"filberttrack.example/track"
	"filberttrack.example/track/latest"
	"filberttrack.example/track/talk"
)

const (
	// pathConfig is the call by which entries read each other's configuration.
	pathConfig = "/service/config"
	// peerConfigDelay is the time that an entry has to read a configuration from the log, once a peer
	// has reported its version, before it reads it from the peer.
	peerConfigDelay = 300 * time.Millisecond
	// peerConfigTimeout is the timeout of a read from a peer.
	peerConfigTimeout = 700 * time.Millisecond
)

// configRequest asks for the configuration in force.
type configRequest struct{}

// configReply holds a configuration as the operator encoded it.
type configReply struct {
	Version uint64
	Data    []byte
}

// currentConfig returns the configuration in force to a peer.
func (e *Entry) currentConfig(context.Context, configRequest) (configReply, error) {
	version, data := e.configHolder.Current()
	if data == nil {
		return configReply{}, track.Fail("read configuration", track.Unavailable, errNoConfig)
	}
	return configReply{Version: version, Data: data}, nil
}

// peerConfigReader reads a newer configuration from a peer that has one. Positions in the log don't show
// who has: a log that came back from an older copy gives an entry that starts then an older
// configuration than its peers have, at a position that they have read up to as well.
type peerConfigReader struct {
	holder *latest.ConfigHolder
	client *talk.Client
	clock  clockwork.Clock
	logger *zap.Logger
	ahead  chan configOffer
}

// configOffer is a configuration that a peer has.
type configOffer struct {
	address string
	version uint64
}

func newPeerConfigReader(holder *latest.ConfigHolder, client *talk.Client, clock clockwork.Clock, logger *zap.Logger) *peerConfigReader {
	return &peerConfigReader{holder: holder, client: client, clock: clock, logger: logger, ahead: make(chan configOffer, 1)}
}

// Notify reports the version of the configuration that the peer at an address has.
func (p *peerConfigReader) Notify(address string, version uint64) {
	if address == "" || !p.isNewer(version) {
		return
	}
	select {
	case p.ahead <- configOffer{address: address, version: version}:
	default:
	}
}

func (p *peerConfigReader) isNewer(version uint64) bool {
	own, _ := p.holder.Current()
	return version > own
}

// Run reads what Notify reports, if it is still newer after peerConfigDelay, until the context ends.
// It returns the context's cause.
func (p *peerConfigReader) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case offer := <-p.ahead:
			select {
			case <-ctx.Done():
				return context.Cause(ctx)
			case <-p.clock.After(peerConfigDelay):
			}
			if !p.isNewer(offer.version) {
				continue
			}
			if err := p.read(ctx, offer.address); err != nil {
				p.logger.Warn("failed to read a newer configuration from a peer",
					zap.String("Peer", offer.address), zap.Uint64("Version", offer.version), zap.Error(err))
			}
		}
	}
}

var errUndecodableConfig = errors.New("the configuration can't be decoded")

// read takes over the configuration of the peer at an address.
func (p *peerConfigReader) read(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, peerConfigTimeout)
	defer cancel()
	reply, err := talk.Call[configRequest, configReply](ctx, p.client, address, pathConfig, configRequest{})
	if err != nil {
		return err
	}
	p.logger.Info("configuration from peer", zap.String("Peer", address), zap.Uint64("Version", reply.Version))
	if !p.holder.Update(reply.Data) {
		return track.Fail("read configuration", track.Invalid, fmt.Errorf("version %d: %w", reply.Version, errUndecodableConfig))
	}
	return nil
}
