package main

// The imports register the decision plug-ins that experiments can use.
import (
	_ "github.com/wardspool/wardspool/plugins/slots/probe"
	_ "github.com/wardspool/wardspool/plugins/slots/shares"
	_ "github.com/wardspool/wardspool/plugins/standard"
)
