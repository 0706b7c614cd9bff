package change

import (
	"encoding/hex"
	"errors"
	"fmt"
	"path"
	"strings"
	"time"

	"filberttrack.example/track"
)

// Limits of the values in objects.
const (
	maxNameLength = 64
	maxTimeout    = time.Hour
	maxAttempts   = 10
	maxWeight     = 1e6
	maxRate       = 1e12
)

const nameCharacters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-"

func checkName(name string) error {
	if name == "" || len(name) > maxNameLength {
		return fmt.Errorf("a name has 1 to %d characters", maxNameLength)
	}
	if strings.Trim(name, nameCharacters) != "" {
		return errors.New("a name holds letters, digits, '.', '_' and '-' only")
	}
	return nil
}

func checkProfile(p *track.Profile) error {
	return errors.Join(
		checkRange("Timeout", p.Timeout, time.Millisecond, maxTimeout),
		checkRange("Priority", p.Priority, track.PriorityBatch, track.PriorityInteractive),
		checkRange("Retry.Share", p.Retry.Share, 0, 1),
		checkRange("Retry.FloorPerSecond", p.Retry.FloorPerSecond, 0, maxRate),
		checkRange("Retry.MaxAttempts", p.Retry.MaxAttempts, 0, maxAttempts),
		checkRange("Retry.Backoff", p.Retry.Backoff, 0, maxTimeout),
		checkRange("Hedge.After", p.Hedge.After, 0, maxTimeout),
		checkRange("Experts.SkewWeight", p.Experts.SkewWeight, 0, maxWeight),
		checkRange("Experts.MoveWeight", p.Experts.MoveWeight, 0, maxWeight),
		checkPatterns(p.NonIdempotent),
	)
}

func checkPatterns(patterns []track.CallPattern) error {
	for _, pattern := range patterns {
		if pattern.Method == "" || pattern.Path == "" {
			return errors.New("NonIdempotent: a pattern needs Method and Path")
		}
		if _, err := path.Match(pattern.Path, ""); err != nil {
			return fmt.Errorf("NonIdempotent: path %q: %w", pattern.Path, err)
		}
	}
	return nil
}

func checkReplicas(r track.ReplicaSettings) error {
	return errors.Join(
		checkRange("Replicas.MaxRunning", r.MaxRunning, 0, 1<<20),
		checkRange("Replicas.MaxQueued", r.MaxQueued, 0, 1<<20),
	)
}

func checkAccount(a *track.ClientAccount) error {
	return errors.Join(
		checkTokenHash(a.TokenSHA256),
		checkRange("Weight", a.Weight, 0, maxWeight),
		checkRange("RequestsPerSecond", a.RequestsPerSecond, 0, maxRate),
		checkRange("TokensPerSecond", a.TokensPerSecond, 0, maxRate),
	)
}

// checkTokenHash checks the hash of a token. The error does not contain the
// value, since an operator may have given the token itself by mistake.
func checkTokenHash(sum string) error {
	raw, err := hex.DecodeString(sum)
	if err != nil || len(raw) != 32 || strings.ToLower(sum) != sum {
		return errors.New("TokenSHA256: want 64 hexadecimal digits in lower case")
	}
	return nil
}

func checkRange[N ~int | ~int64 | ~float64](field string, value, low, high N) error {
	if value >= low && value <= high {
		return nil
	}
	return fmt.Errorf("%s: %v is outside %v to %v", field, value, low, high)
}

// checkProfileReferences checks that the profiles of all models and services
// exist.
func checkProfileReferences(cfg *track.Config) error {
	profiles := make(map[string]bool, len(cfg.Profiles))
	for _, p := range cfg.Profiles {
		profiles[p.Name] = true
	}
	for _, m := range cfg.Models {
		if !profiles[m.Profile] {
			return fmt.Errorf("model %q uses profile %q, which does not exist", m.Name, m.Profile)
		}
	}
	for _, s := range cfg.Services {
		if !profiles[s.Profile] {
			return fmt.Errorf("service %q uses profile %q, which does not exist", s.Name, s.Profile)
		}
	}
	return nil
}

// checkUniqueTokens returns an error if two accounts have the same token.
func checkUniqueTokens(accounts []track.ClientAccount) error {
	owners := make(map[string]string, len(accounts))
	for _, a := range accounts {
		if owner, taken := owners[a.TokenSHA256]; taken {
			return fmt.Errorf("accounts %q and %q have the same token", owner, a.Name)
		}
		owners[a.TokenSHA256] = a.Name
	}
	return nil
}
