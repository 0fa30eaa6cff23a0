// Package examples embeds the sets of configuration objects of the two example deployments, as YAML.
package examples

import _ "embed"

// OsoPerdido is the set of the deployment that searches lost toys.
//
//go:embed oso-perdido.yaml
var OsoPerdido []byte

// Tafelrond is the set of the deployment that searches rooms.
//
//go:embed tafelrond.yaml
var Tafelrond []byte
