package verify_test

import (
	"fmt"

	"filberttrack.example/track"
	"filberttrack.example/track/verify"
)

// Three entries never match: two routes and a service.
func ExampleCheck() {
	status := []track.RouteTarget{{Service: "status", Weight: 1}}
	config := track.RouteConfig{
		Version: 2,
		Routes: []track.Route{
			{Name: "status", Host: "yard.example", PathPrefix: "/status/", Targets: status},
			{Name: "new status", Host: "yard.example", PathPrefix: "/status/", Targets: status},
			{Name: "health", Host: "yard.example", PathPrefix: "health/", Targets: status},
		},
		Services: []track.RouteService{{Name: "status"}, {Name: "status2"}},
	}
	for _, f := range verify.Check(config) {
		fmt.Println(f)
	}
	// Output:
	// warning: route "new status": never matches: route "status" has the same host and prefix
	// warning: route "health": never matches: prefix "health/" doesn't begin with a slash
	// warning: service "status2": no route uses it
}
