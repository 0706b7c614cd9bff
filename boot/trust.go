package boot

import (
	"context"
	"errors"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"filberttrack.example/track"
	"filberttrack.example/track/certs"
	"filberttrack.example/track/conf"
	"filberttrack.example/track/duty"
)

// processSecurity holds the certificates with which a process proves its identity and
// checks that of others, and the token that authorizes operators.
type processSecurity struct {
	// certificates is nil if the settings name no files.
	certificates  *certs.Store
	operatorToken *certs.Token
	metrics       *metrics.Set
}

// newProcessSecurity reads the token and certificate files that the settings name. It
// fails if one is missing or invalid, or if the certificate is for another zone.
func newProcessSecurity(
	settings conf.Settings, zone track.AvailabilityZone, logger *zap.Logger,
) (*processSecurity, error) {
	token, err := operatorToken(settings.Operators)
	if err != nil {
		return nil, err
	}
	s := &processSecurity{operatorToken: token, metrics: metrics.NewSet()}
	if settings.TLS == (conf.TLS{}) {
		return s, nil
	}
	s.certificates, err = certs.New(certs.Files(settings.TLS), zone, clockwork.NewRealClock(), logger, s.metrics)
	return s, err
}

// dialCredentials returns the credentials for connections to instances of a zone.
func (s *processSecurity) dialCredentials(zone track.AvailabilityZone) credentials.TransportCredentials {
	if s.certificates == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(s.certificates.ClientConfig(zone))
}

// serverOptions returns the gRPC options of the server for other instances.
func (s *processSecurity) serverOptions() []grpc.ServerOption {
	if s.certificates == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(s.certificates.ServerConfig()))}
}

// startReload starts the task that reloads the certificate files when they change.
func (s *processSecurity) startReload(ctx context.Context) []*duty.Duty {
	if s.certificates == nil {
		return nil
	}
	return []*duty.Duty{duty.Start(ctx, "reload certificates", s.certificates.Run)}
}

// verifyZone fails unless the certificate of the gRPC caller is valid for the zone.
func (s *processSecurity) verifyZone(ctx context.Context, zone track.AvailabilityZone) error {
	if s.certificates == nil {
		return nil
	}
	caller, ok := peer.FromContext(ctx)
	if !ok {
		return errors.New("gRPC call carries no peer information")
	}
	info, ok := caller.AuthInfo.(credentials.TLSInfo)
	if !ok {
		return errors.New("gRPC caller does not use TLS")
	}
	return certs.CheckZone(info.State, zone)
}
