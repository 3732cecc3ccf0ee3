// Package common contains settings that entries and agents share: the operators
// section, and checks of names, addresses, certificates and log options. Each check
// adds its findings to a settings.Report.
package common

import (
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/wardspool/wardspool/ident"
	"github.com/wardspool/wardspool/logs"
	"github.com/wardspool/wardspool/settings"
	"github.com/wardspool/wardspool/tlsconf"
)

// Advice texts of the findings.
const (
	adviceName      = "use lower-case letters, digits and inner hyphens, at most 63"
	adviceAddress   = `give an IP number and a port, for example "127.0.0.1:9200"`
	adviceOperators = "list identities under operators.names"
	adviceTLS       = "see docs/operators/tls.md"
	adviceCA        = "name the authorities that sign the other instances' certificates"
	adviceLog       = "level is debug, info, warn or error; format is json or text"
)

// missing is the finding for a required field that is not set.
const missing = "is missing"

// Presence states whether a field must be set.
type Presence bool

// Values of Presence.
const (
	Required Presence = true
	Optional Presence = false
)

// CheckName checks a name, such as that of an instance, zone or region.
func CheckName[T ~string](r *settings.Report, field string, name T, p Presence) {
	switch {
	case name == "" && p == Required:
		r.Add(field, missing, adviceName)
	case name != "" && !ident.ValidName(string(name)):
		r.Add(field, fmt.Sprintf("%q is not a name", name), adviceName)
	}
}

// CheckAddress checks an address of the form "IP:port".
func CheckAddress(r *settings.Report, field, address string, p Presence) {
	switch {
	case address == "" && p == Required:
		r.Add(field, missing, adviceAddress)
	case address != "" && !validAddress(address):
		r.Add(field, fmt.Sprintf("%q is not an address", address), adviceAddress)
	}
}

// CheckLoopback checks a loopback address of the form "IP:port". advice is the advice
// text of the finding for another address.
func CheckLoopback(r *settings.Report, field, address string, p Presence, advice string) {
	CheckAddress(r, field, address, p)
	if validAddress(address) && !isLoopback(address) {
		r.Add(field, "is not a loopback address", advice)
	}
}

// validAddress reports whether s has the form "IP:port".
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// isLoopback reports whether s has the form "IP:port" with a loopback IP.
func isLoopback(s string) bool {
	host, _, err := net.SplitHostPort(s)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// Operators is the section "operators": the settings for operators' tools.
type Operators struct {
	// Listen is the address for connections from operators' tools; if it is
	// empty, none are accepted.
	Listen string `yaml:"listen"`
	// Names lists the identities that may connect as operators.
	Names []ident.InstanceID `yaml:"names"`
}

// Check checks the section.
func (o Operators) Check(r *settings.Report) {
	CheckAddress(r, "operators.listen", o.Listen, Optional)
	for i, name := range o.Names {
		CheckName(r, fmt.Sprintf("operators.names[%d]", i), name, Required)
	}
	if o.Listen != "" && len(o.Names) == 0 {
		r.Add("operators.listen", "no operator may connect", adviceOperators)
	}
}

// CheckPeerTLS checks the section "tls", the certificate files for connections to other
// instances, by reading them. The section may be empty. Otherwise it needs a CA file,
// since without one no peer could be authenticated.
func CheckPeerTLS(r *settings.Report, s tlsconf.Settings) {
	CheckFiles(r, "tls", s)
	if s.Enabled() && s.CA == "" {
		r.Add("tls.ca", missing, adviceCA)
	}
}

// CheckFiles checks the certificate files of a section by reading them, if it names any.
func CheckFiles(r *settings.Report, field string, s tlsconf.Settings) {
	if !s.Enabled() {
		return
	}
	_, err := tlsconf.New(s, tlsconf.Options{})
	var file *tlsconf.FileError
	switch {
	case errors.As(err, &file):
		r.Add(field+"."+file.Field, err.Error(), adviceTLS)
	case err != nil:
		r.AddError(field, err)
	}
}

// CheckLog checks the section "log".
func CheckLog(r *settings.Report, o logs.Options) {
	if _, err := logs.New(nil, o); err != nil {
		r.Add("log", err.Error(), adviceLog)
	}
}
