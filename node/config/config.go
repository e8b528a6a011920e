// Package config reads a daemon's own configuration file: its addresses and location, the
// platform that it reads from, the keys that it shares with its peers, and its resource limits. The
// settings of the fleet are not in it. Parse reports every problem of the file at once,
// each with line, column and remedy.
package config

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"doorstack.dev/core/strictyaml"
	"github.com/go-faster/errors"
)

// File is the content of a daemon's configuration file.
type File struct {
	strictyaml.Source
	// Name is the host's id on the platform's host list.
	Name string `yaml:"name"`
	// Listen is the address for callers, as IP:port.
	Listen string `yaml:"listen"`
	// Admin is the address for operators and metrics, as IP:port.
	Admin string `yaml:"admin"`
	// Peer is the address for the other daemons, as IP:port.
	Peer string `yaml:"peer"`
	// PeerListen is the address on which the daemon listens for the other daemons, if it is not the one
	// that they dial, as behind a proxy or an address translation. It is a flag of the command.
	PeerListen string `yaml:"-"`
	// DataCentre and Region are the location of the host.
	DataCentre string `yaml:"data_centre"`
	Region     string `yaml:"region"`
	// Platform holds the addresses from which the daemon reads settings and hosts.
	Platform Platform `yaml:"platform"`
	// PeerKeys are the secrets that the daemons share. The daemon proves its identity to
	// peers with the first one and accepts all of them from peers, so that a key can be
	// replaced without an interruption.
	PeerKeys []string `yaml:"peer_keys"`
	// Workers is the number of goroutines that place waiting requests.
	Workers int `yaml:"workers"`
	// BodyMemoryMB bounds the memory of all request bodies and unread answers together, in megabytes.
	BodyMemoryMB int64 `yaml:"body_memory_mb"`
	// ExplainMemoryMB bounds the memory of recorded decisions, in megabytes.
	ExplainMemoryMB int64 `yaml:"explain_memory_mb"`
	// ReportPollsPerSecond bounds the load reports that the daemon reads a second.
	ReportPollsPerSecond float64 `yaml:"report_polls_per_second"`
	// DrainDelay is how long a daemon that shuts down still accepts connections, and
	// answers that it is leaving, before it closes its listeners.
	DrainDelay strictyaml.Duration `yaml:"drain_delay"`
}

// Platform holds the addresses from which a daemon reads settings and hosts.
type Platform struct {
	strictyaml.Source
	// Configuration is the base URL of the configuration service.
	Configuration string `yaml:"configuration"`
	// Hosts is the base URL of the host list.
	Hosts string `yaml:"hosts"`
	// Prefix is the common prefix of the settings keys of this fleet.
	Prefix string `yaml:"prefix"`
}

// Default returns a file with the values of the keys that may be omitted.
func Default() File {
	return File{
		Workers:              4,
		BodyMemoryMB:         512,
		ExplainMemoryMB:      16,
		ReportPollsPerSecond: 50,
		DrainDelay:           strictyaml.Duration(time.Second),
		Platform:             Platform{Prefix: "doorstack/"},
	}
}

// Load reads and checks the file at path.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read the daemon's configuration file; give its path with --config")
	}
	f, err := Parse(data)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	return f, nil
}

// Parse decodes and checks the content of a file. The error is of type strictyaml.Problems.
func Parse(data []byte) (*File, error) {
	f := Default()
	problems := strictyaml.Decode(data, &f)
	f.validate(&problems)
	if len(problems) > 0 {
		problems.Sort()
		return nil, problems
	}
	return &f, nil
}

// minPeerKeySize is the minimum length of a peer key, in bytes.
const minPeerKeySize = 16

// validate adds a problem for each missing or invalid value.
func (f *File) validate(problems *strictyaml.Problems) {
	required := []struct{ key, value, remedy string }{
		{"name", f.Name, "write the host's id on the platform's host list"},
		{"data_centre", f.DataCentre, "write the name of the data centre"},
		{"region", f.Region, "write the name of the region"},
	}
	for _, r := range required {
		if r.value == "" {
			problems.Add(f.KeyPosition(r.key), r.key, "is missing", r.remedy)
		}
	}
	for _, a := range []struct{ key, value string }{{"listen", f.Listen}, {"admin", f.Admin}, {"peer", f.Peer}} {
		if err := checkAddress(a.value); err != nil {
			problems.Add(f.KeyPosition(a.key), a.key, err.Error(), "write IP:port, such as 10.0.0.5:8080")
		}
	}
	for _, u := range []struct{ key, value string }{{"configuration", f.Platform.Configuration}, {"hosts", f.Platform.Hosts}} {
		if err := checkURL(u.value); err != nil {
			problems.Add(f.Platform.KeyPosition(u.key), "platform."+u.key, err.Error(), "write a base URL, such as http://10.0.0.1:9000")
		}
	}
	if len(f.PeerKeys) == 0 {
		problems.Add(f.KeyPosition("peer_keys"), "peer_keys", "is empty", "write one secret of at least 16 characters, the same on all daemons")
	}
	for i, key := range f.PeerKeys {
		if len(key) < minPeerKeySize {
			problems.Add(f.KeyPosition("peer_keys"), fmt.Sprintf("peer_keys[%d]", i), "is too short", "use at least 16 characters")
		}
	}
	for _, n := range []struct {
		key   string
		value float64
	}{
		{"workers", float64(f.Workers)},
		{"body_memory_mb", float64(f.BodyMemoryMB)},
		{"explain_memory_mb", float64(f.ExplainMemoryMB)},
		{"report_polls_per_second", f.ReportPollsPerSecond},
	} {
		if n.value <= 0 {
			problems.Add(f.KeyPosition(n.key), n.key, "is not above zero", "write a positive number, or remove the key")
		}
	}
}

// checkAddress returns an error unless the address is an IP address and a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.New(fmt.Sprintf("%q is not an address", address))
	}
	if net.ParseIP(host) == nil {
		return errors.New(fmt.Sprintf("%q is not an IP address", host))
	}
	if _, err := net.LookupPort("tcp", port); err != nil {
		return errors.New(fmt.Sprintf("%q is not a port", port))
	}
	return nil
}

// checkURL returns an error unless the text is an http or https URL with a host.
func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return errors.New(fmt.Sprintf("%q is not a URL", text))
	}
	return nil
}
