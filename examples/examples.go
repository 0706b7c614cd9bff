// Package sample embeds the example settings files of the first two deployments.
package sample

import _ "embed"

// Aserrin is the settings file of the deployment of Aserrín Unido Logística.
//
//go:embed aserrin.toml
var Aserrin string

// Detak is the settings file of the deployment of Detak Tempo Servis.
//
//go:embed detak.toml
var Detak string
