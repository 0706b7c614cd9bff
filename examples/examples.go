// Package sample embeds the example settings of the two first deployments.
package sample

import _ "embed"

// Aserrin is the settings file of Aserrín Unido Logística.
//
//go:embed aserrin.toml
var Aserrin string

// Detak is the settings file of Detak Tempo Servis.
//
//go:embed detak.toml
var Detak string
