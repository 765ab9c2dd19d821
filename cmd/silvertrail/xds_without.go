//go:build !xds

package main

import "silvertrail/internal/gateway"

// xdsTaggedCommands are the commands that need the message types of control planes: none in this program.
type xdsTaggedCommands struct{}

// optionalParts returns the parts that not every program has.
func optionalParts() []gateway.Option { return nil }
