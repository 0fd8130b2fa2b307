package config

import (
	"github.com/amaranthweir/amaranthweir/internal/auth"
	"github.com/amaranthweir/amaranthweir/internal/table"
)

// ControlSettings are the additional settings of a control host.
type ControlSettings struct {
	// DataFolder is the folder of the files that must survive a restart.
	DataFolder string
	// Voters lists the control hosts of the founding set of the deployment.
	Voters []PeerSettings
	// Open allows control hosts that are not listed in Voters to join. In this
	// mode the names of control hosts are IP addresses, and all control hosts
	// use the same peer port.
	Open bool
	// DiskBytes is the size of the disk that holds the data folder and nothing
	// else. Zero means that it is large.
	DiskBytes int
	// AllowFounding allows this host to found a deployment. It is implied if Open
	// is false.
	AllowFounding bool
	// Tolerance is the number of control hosts that may lose their disks at the
	// same time. Zero selects the default of the control package.
	Tolerance int
}

// PeerSettings identifies a host.
type PeerSettings struct {
	Host        table.HostID
	PeerAddress string
}

// Settings is the configuration that a host reads at startup.
type Settings struct {
	Host   table.HostID
	Domain table.Domain
	// CallerAddress is the ip:port that callers connect to. It may be empty on a
	// control host, which then serves no callers and owns no instances.
	CallerAddress string
	// PeerAddress is the ip:port that the other hosts connect to, over drpc.
	PeerAddress string
	// HTTPAddress is the ip:port of the HTTP interface for announcements,
	// operators, metrics and health checks.
	HTTPAddress string
	// MetricsAddress is the ip:port of a further HTTP interface that serves only
	// the metrics. If it is empty, HTTPAddress alone serves them.
	MetricsAddress string
	// Join lists the peer addresses of a few hosts, including control hosts, that
	// this host asks for the control leader.
	Join []string
	// Control is nil unless the host is a control host.
	Control *ControlSettings
	// SessionKeys are the keys of session tokens. The first one signs, and all of
	// them verify. Each is at least 32 bytes, written in hexadecimal.
	SessionKeys []string
	// UsesDevelopmentKey is set if SessionKeys holds only the public development
	// key. The serve command then prints a warning.
	UsesDevelopmentKey bool
	// LearnCapacity makes the host learn how many statements each of its instances
	// runs well at once, and send it no more.
	LearnCapacity bool
	// MaxCallers limits the number of open caller connections.
	MaxCallers int
	// MaxMessageBytes limits the size of one message from a caller.
	MaxMessageBytes int
	// LogLevel is a logrus level name.
	LogLevel string
	// TLSCertificate and TLSKey are the files for TLS connections of callers and
	// operators. If they are empty, these connections are plain text.
	TLSCertificate string
	TLSKey         string
	// RequireTLS rejects plain-text connections of callers. It is also set when
	// CallerAddress is not a loopback address, unless AllowPlainText is set.
	RequireTLS bool
	// AllowPlainText permits plain text and unauthenticated access on any
	// address.
	AllowPlainText bool
	// Users are the callers that may log in. If it is empty, every caller is
	// trusted without a password.
	Users []User
	// Upstream holds the credentials for logging in to instances.
	Upstream Upstream
	// PeerTLS is nil if hosts talk to each other in plain text.
	PeerTLS *PeerTLS
	// Operators may use the HTTP interface. If it is empty, anyone may.
	Operators []auth.Operator
	// AnnounceToken is nil if announcements need no token.
	AnnounceToken *auth.TokenHash
	Quota         QuotaSettings
	Revocation    RevocationSettings
}

// User is a caller that may log in.
type User struct {
	Name     string
	Verifier auth.Verifier
}

// Upstream holds the credentials with which hosts log in to instances.
type Upstream struct {
	User     string
	Database string
	// PasswordFile is a file that only its owner may read. If it is empty, no
	// password is used.
	PasswordFile string
	// CA is a file with the certificates that instances are verified against.
	// If it is empty, connections are plain text.
	CA string
}

// PeerTLS names the certificate files for TLS between hosts.
type PeerTLS struct {
	Certificate string
	Key         string
	CA          string
}
