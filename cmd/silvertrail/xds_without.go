//go:build !xds

package main

import "silvertrail/internal/gateway"

type xdsTaggedCommands struct{}

// optionalParts are the parts that not every program has.
func optionalParts() []gateway.Option { return nil }
