package config

import (
	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// ControlSettings makes a host a control host.
type ControlSettings struct {
	// DataFolder holds the files that must survive a restart.
	DataFolder string
	// Voters are the control hosts that found the deployment.
	Voters []PeerSettings
	// Open lets control hosts that Voters does not list join. Their names are
	// then IP addresses, and all of them use the same peer port.
	Open bool
	// Found lets this host found a deployment; it is implied unless Open.
	Found bool
}

// PeerSettings names another host.
type PeerSettings struct {
	Host        table.HostID
	PeerAddress string
}

// Settings are what one host is told at start.
type Settings struct {
	Host   table.HostID
	Domain table.Domain
	// CallerAddress is ip:port for callers. It may be empty on a control host:
	// such a host serves no callers and owns no instances.
	CallerAddress string
	// PeerAddress is ip:port for the other hosts (drpc).
	PeerAddress string
	// HTTPAddress is ip:port for announcements, operators, metrics and health.
	HTTPAddress string
	// Join lists peer addresses of a few hosts that are asked at start,
	// control hosts among them.
	Join []string
	// Control is nil on a host that is no control host.
	Control *ControlSettings
	// SessionKeys sign session tokens; the first one signs, all verify. Each
	// is at least 32 bytes, written in hexadecimal.
	SessionKeys []string
	// DevelopmentKeys is set when SessionKeys holds only the public
	// development key; the host warns about it.
	DevelopmentKeys bool
	// MaxCallers bounds open caller connections.
	MaxCallers int
	// MaxMessageBytes bounds one message of a caller.
	MaxMessageBytes int
	// LogLevel is a logrus level name.
	LogLevel string
	// TLSCertificate and TLSKey are files, for callers and operators; empty
	// means plain text to them.
	TLSCertificate string
	TLSKey         string
	// RequireTLS refuses callers in plain text. It is set for an address that
	// is no loopback address, too, unless AllowPlainText is.
	RequireTLS bool
	// AllowPlainText states that plain text and trust are meant, on any
	// address.
	AllowPlainText bool
	// Users may log in; empty means that each caller is trusted.
	Users []User
	// Upstream is how hosts log in to instances.
	Upstream Upstream
	// PeerTLS is nil for plain text between hosts.
	PeerTLS *PeerTLS
	// Operators may use the HTTP interface; empty means anyone.
	Operators []auth.Operator
	// AnnounceToken is nil where announcements need no token.
	AnnounceToken *auth.TokenHash
}

// User is a caller that may log in.
type User struct {
	Name     string
	Verifier auth.Verifier
}

// Upstream is how hosts log in to instances.
type Upstream struct {
	User     string
	Database string
	// PasswordFile is a file that only its owner may read; empty means no
	// password.
	PasswordFile string
	// CA is a file with the certificates that instances are verified against;
	// empty means plain text.
	CA string
}

// PeerTLS names the files for the traffic between hosts.
type PeerTLS struct {
	Certificate string
	Key         string
	CA          string
}
