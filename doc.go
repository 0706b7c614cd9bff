// Package track defines the data and the ports of filberttrack, a load
// balancer for expert-parallel model groups and the plain services beside them.
//
// The package holds plain structs and small interfaces only. Implementations
// live in the packages below: entry and agent are the two daemons, wire joins
// them over gRPC, plat adapts the platform's services, and stand holds the
// in-memory stand-ins used by tests and by "filberttrack dev".
package track
