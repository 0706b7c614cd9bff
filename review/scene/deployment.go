package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// The deployment of the plays: the figures are those of the sheet and of the site file of aul-pickups.
const (
	deskSlots = 6
	deskWork  = 30 * time.Millisecond

	host        = "yard.example"
	deskService = "pickup-desk"
	apiKey      = "key-mills"
	accountName = "mills"
	// topicConfig and topicServers are the topics of the operator and of the replicas.
	topicConfig, keyConfig, topicServers = "op", "config", "servers"
)

// zones holds the zones of the deployment, and fronts the number of entries in each.
var (
	zones  = []string{"rivera", "tacuarembo", "artigas"}
	fronts = []int{3, 1, 2}
)

// The last bytes of the addresses of the first entry and of the first replica of the plain service.
const (
	firstEntryHost = 10
	firstDeskHost  = 100
)

// startupTime is the time from the start of the entries to the traffic.
const startupTime = 3 * time.Second

// startEntries starts the entries of all zones and waits until they are ready.
func (w *world) startEntries(ctx context.Context) error {
	seeds := []string{net.JoinHostPort(w.address(firstEntryHost), strconv.Itoa(controlPort))}
	for zone, n := range fronts {
		for i := range n {
			name, ip := fmt.Sprintf("front-%s-%d", zones[zone], i+1), w.address(firstEntryHost+len(w.entries))
			if _, err := w.startProcess(name, "entry", w.entrySettings(name, zones[zone], ip, seeds)); err != nil {
				return err
			}
			w.entries = append(w.entries, ip)
		}
	}
	time.Sleep(startupTime)
	for _, ip := range w.entries {
		if err := awaitReady(ctx, ip); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until an entry says that it is ready.
func awaitReady(ctx context.Context, ip string) error {
	for range 100 {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/filberttrack/ready", ip, readinessPort), nil)
		if err != nil {
			return fmt.Errorf("ask for readiness: %w", err)
		}
		if response, err := http.DefaultClient.Do(request); err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the entry at %s isn't ready", ip)
}

// entrySettings returns the settings file of an entry as the platform writes it.
func (w *world) entrySettings(name, zone, ip string, seeds []string) string {
	var s strings.Builder
	fmt.Fprintf(&s, "node_name = %q\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\",\"control\"]\n", name)
	fmt.Fprintf(&s, "ip = %q\nzone = %q\nregion = \"norte\"\nport_range = [%d,%d]\n", ip, zone, firstPeerPort, firstPeerPort+15)
	quoted, _ := json.Marshal(seeds) // A list of strings can always be encoded.
	fmt.Fprintf(&s, "seeds = %s\nbootstrap = true\nloss_counts = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n", quoted)
	s.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"experts\"]\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&s, "%s = \"norte\"\n", z)
	}
	fmt.Fprintf(&s, "[listen]\nfront = \"%s:%d\"\nreadiness = \"%s:%d\"\ncontrol = \"%s:%d\"\n", ip, frontPort, ip, readinessPort, ip, controlPort)
	fmt.Fprintf(&s, "%s[platform]\naddress = %q\n%s", limitsAndBounds, w.logAddr, platformLimits)
	return s.String()
}

// limitsAndBounds holds the limits of an entry and the bounds of the sheet, and platformLimits the limits of the
// platform's log.
const (
	limitsAndBounds = `[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4200
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
skew_max_ms = 5000
revoke_strict = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 88
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
require_fence = true
`
	platformLimits = `form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
`
)

// route is a route of the configuration.
type route struct{ name, prefix, kind string }

// usualRoutes holds the routes of the plain service.
func usualRoutes() []route {
	return []route{{"book-pickup", "/book/", "unsafe"}, {"bale-status", "/status/", "safe"}}
}

// usualHeaderBytes is the usual limit on the header of a request.
const usualHeaderBytes = 16384

// putConfig writes the operator's configuration with the usual limits.
func (w *world) putConfig(version int, routes []route) error {
	return w.putWhole(version, routes, usualHeaderBytes, []tenant{{accountName, []string{apiKey}}})
}

// tenant is a client account of the configuration with its keys.
type tenant struct {
	name string
	keys []string
}

// putWhole writes the operator's configuration.
func (w *world) putWhole(version int, routes []route, maxHeaderBytes int, tenants []tenant) error {
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "path_prefix": r.prefix, "kind": r.kind, "service": deskService, "timeout_ms": 2500,
			"aim_ms": 150, "priority": 2, "max_attempts": 2, "anonymous": false,
		})
	}
	accounts := []any{}
	for _, t := range tenants {
		accounts = append(accounts, map[string]any{"name": t.name, "api_keys": t.keys, "priority": 1})
	}
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": list,
		"services": []any{map[string]any{"name": deskService, "health_path": "/health", "max_connections": 96}},
		"limits": map[string]any{
			"max_header_bytes": maxHeaderBytes, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": accounts,
	})
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	w.log.Put(topicConfig, keyConfig, data)
	w.record.printf("operator: version %d acknowledged, max_header_bytes %d, routes %v, tenants %v", version, maxHeaderBytes, routes, tenants)
	return nil
}
