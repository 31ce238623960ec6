// Package tlsfiles gives TLS configurations whose certificate, key and
// authority are read from files and read again in place when the files change.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"flamingospar.org/base/logging"
)

// Names that the certificates of our processes carry as DNS names, in place of
// addresses, which change with each VM. Each certificate has NodeName and the
// name of its role.
const (
	NodeName  = "node.flamingospar.internal"
	EntryName = "entry.flamingospar.internal"
	AgentName = "agent.flamingospar.internal"
)

// checkInterval bounds how often the files are looked at.
const checkInterval = time.Second

var log = logging.For("base/tls")

// Files names PEM files. All are set, or none for plain connections.
type Files struct {
	Certificate string `toml:"certificate_file"` // PEM chain of this process, leaf first; empty: plain connections between processes.
	Key         string `toml:"key_file"`         // PEM private key of the leaf.
	Authority   string `toml:"authority_file"`   // PEM certificates that sign the peers' certificates.
}

// IsSet reports whether connections between processes use TLS.
func (f Files) IsSet() bool { return f != Files{} }

// Check returns a problem when some files are named and others are not.
func (f Files) Check() error {
	if f.IsSet() && (f.Certificate == "" || f.Key == "" || f.Authority == "") {
		return &Problem{File: "settings", What: "some of tls.certificate_file, tls.key_file and tls.authority_file are empty", Remedy: "set all three or none"}
	}
	return nil
}

// Problem is a fault in the files.
type Problem struct {
	File   string
	What   string
	Remedy string
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("tls: %s: %s; remedy: %s", p.File, p.What, p.Remedy)
}

// material is what was read at one time.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	stamp       [3]fileStamp
}

type fileStamp struct {
	modified time.Time
	size     int64
}

// Source holds the last sound content of the files. It is safe for concurrent use.
type Source struct {
	files   Files
	counter Counter

	mu      sync.Mutex
	current *material
	checked time.Time
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Load reads the files; each must be sound. Later attempts to read changed
// files are counted as tls.reloaded and tls.reload_failed.
func Load(files Files, counter Counter) (*Source, error) {
	source := &Source{files: files, counter: counter}
	read, err := source.read()
	if err != nil {
		return nil, err
	}
	source.current = read
	source.checked = time.Now()
	return source, nil
}

// Server returns the configuration of a server that asks each client for a
// certificate with one of the roles' DNS names.
func (s *Source) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			held := s.held()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{held.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              held.authority,
				NextProtos:             []string{"h2"},
				SessionTicketsDisabled: true,
				VerifyConnection:       verifyRole(roles),
			}, nil
		},
	}
}

// Client returns the configuration for one connection to a server whose
// certificate has one of the roles' DNS names.
func (s *Source) Client(roles ...string) *tls.Config {
	held := s.held()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{held.certificate},
		RootCAs:      held.authority,
		ServerName:   NodeName,
		NextProtos:   []string{"h2"},

		VerifyConnection: verifyRole(roles),
	}
}

// verifyRole checks the role after the chain has been verified.
func verifyRole(roles []string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("tls: the peer sent no certificate; remedy: set its certificate files")
		}
		for _, role := range roles {
			if state.PeerCertificates[0].VerifyHostname(role) == nil {
				return nil
			}
		}
		return fmt.Errorf("tls: the peer's certificate has none of the names %v; remedy: issue one for its role", roles)
	}
}

// held returns the current material, after a look at the files when the last
// one is checkInterval old. Files that are not sound leave the last ones in force.
func (s *Source) held() *material {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checked) < checkInterval {
		return s.current
	}
	s.checked = time.Now()
	stamp, err := s.stamp()
	if err == nil && stamp == s.current.stamp {
		return s.current
	}
	read, err := s.read()
	if err != nil {
		log.Error(err, "Changed certificate files are not sound; the last ones stay in force.")
		s.counter.Count("tls", "reload_failed")
		return s.current
	}
	s.current = read
	log.Info("Changed certificate files are in force.")
	s.counter.Count("tls", "reloaded")
	return s.current
}

func (s *Source) names() [3]string {
	return [3]string{s.files.Certificate, s.files.Key, s.files.Authority}
}

func (s *Source) stamp() ([3]fileStamp, error) {
	var stamps [3]fileStamp
	for i, name := range s.names() {
		info, err := os.Stat(name)
		if err != nil {
			return stamps, &Problem{File: name, What: err.Error(), Remedy: "put the file there, readable by this process"}
		}
		stamps[i] = fileStamp{modified: info.ModTime(), size: info.Size()}
	}
	return stamps, nil
}

func (s *Source) read() (*material, error) {
	stamp, err := s.stamp()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, &Problem{File: s.files.Certificate, What: err.Error(), Remedy: "write certificate and key as PEM that belong together"}
	}
	data, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, &Problem{File: s.files.Authority, What: err.Error(), Remedy: "put the file there, readable by this process"}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &Problem{File: s.files.Authority, What: "holds no certificate", Remedy: "write the authority's certificates as PEM"}
	}
	return &material{certificate: certificate, authority: pool, stamp: stamp}, nil
}
