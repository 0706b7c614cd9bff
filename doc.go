// Package track defines the data types and interfaces of filberttrack, a load
// balancer for expert-parallel model groups and for plain services beside them.
//
// The package holds plain structs and small interfaces only; the packages below
// it implement them. Packages entry and agent are the two daemons, wire connects
// them over gRPC, plat adapts the platform's services, and stand holds in-memory
// replacements for those services, which tests and "filberttrack dev" use.
package track
