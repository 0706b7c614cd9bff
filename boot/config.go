package boot

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"filberttrack.example/track"
	"filberttrack.example/track/certs"
	"filberttrack.example/track/conf"
)

// adminToken returns the guard of calls that change something.
func adminToken(o conf.Operators) (*certs.Token, error) {
	switch {
	case o.TokenFile != "":
		return certs.ReadToken(o.TokenFile)
	case o.TokenSHA256 != "":
		return certs.ParseTokenHash(o.TokenSHA256)
	default:
		return certs.NoToken(), nil
	}
}

// randomSeed returns a seed that differs between instances and starts.
func randomSeed(id track.InstanceID, started time.Time) uint64 {
	return xxhash.Sum64String(fmt.Sprint(id, started.UnixNano()))
}
