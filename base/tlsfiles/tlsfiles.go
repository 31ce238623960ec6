// Package tlsfiles provides TLS configurations whose certificate, private key
// and CA certificates are loaded from files and reloaded when the files change.
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

// DNS names in the certificates of the processes. They stand in for addresses,
// which change with each VM. Each certificate contains NodeName and the name of
// its role.
const (
	NodeName  = "node.flamingospar.internal"
	EntryName = "entry.flamingospar.internal"
	AgentName = "agent.flamingospar.internal"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

var log = logging.For("base/tls")

// Files holds the paths of the PEM files. Either all are set, or none is and
// connections are unencrypted.
type Files struct {
	Certificate string `toml:"certificate_file"` // PEM chain of this process, leaf first; empty: plain connections between processes.
	Key         string `toml:"key_file"`         // PEM private key of the leaf.
	Authority   string `toml:"authority_file"`   // PEM certificates that sign the peers' certificates.
}

// IsSet reports whether connections between processes use TLS.
func (f Files) IsSet() bool { return f != Files{} }

// Check returns an error if some but not all of the files are set.
func (f Files) Check() error {
	if f.IsSet() && (f.Certificate == "" || f.Key == "" || f.Authority == "") {
		return &Problem{File: "settings", What: "some of tls.certificate_file, tls.key_file and tls.authority_file are empty", Remedy: "set all three or none"}
	}
	return nil
}

// Problem is an error in the certificate files or their settings.
type Problem struct {
	File   string
	What   string
	Remedy string
}

func (p *Problem) Error() string {
	return fmt.Sprintf("tls: %s: %s; remedy: %s", p.File, p.What, p.Remedy)
}

// credentials holds the content of the files as of one load.
type credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
	fileStates  [3]fileState
}

// fileState is used to detect that a file has changed.
type fileState struct {
	modified time.Time
	size     int64
}

// Source holds the last valid content of the files. It is safe for concurrent use.
type Source struct {
	files   Files
	counter Counter

	mu        sync.Mutex
	current   *credentials
	lastCheck time.Time
}

// Counter increments the counter whose name is the joined parts.
type Counter interface {
	Count(parts ...string)
}

// Load reads the files and returns an error if any of them is invalid. Later
// reloads of changed files are counted as tls.reloaded or tls.reload_failed.
func Load(files Files, counter Counter) (*Source, error) {
	source := &Source{files: files, counter: counter}
	loaded, err := source.load()
	if err != nil {
		return nil, err
	}
	source.current = loaded
	source.lastCheck = time.Now()
	return source, nil
}

// Server returns the configuration of a server that requires each client to
// present a certificate with one of the roles' DNS names.
func (s *Source) Server(roles ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			current := s.currentCredentials()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{current.certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              current.caPool,
				NextProtos:             []string{"h2"},
				SessionTicketsDisabled: true,
				VerifyConnection:       verifyRole(roles),
			}, nil
		},
	}
}

// Client returns the configuration of a single connection to a server whose
// certificate must have one of the roles' DNS names. Each connection needs a new
// one, so that it uses the reloaded certificates.
func (s *Source) Client(roles ...string) *tls.Config {
	current := s.currentCredentials()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{current.certificate},
		RootCAs:      current.caPool,
		ServerName:   NodeName,
		NextProtos:   []string{"h2"},

		VerifyConnection: verifyRole(roles),
	}
}

// verifyRole checks the peer's role after its certificate chain has been verified.
func verifyRole(roles []string) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("tls: the peer sent no certificate; remedy: configure certificate files for the peer")
		}
		for _, role := range roles {
			if state.PeerCertificates[0].VerifyHostname(role) == nil {
				return nil
			}
		}
		return fmt.Errorf("tls: the peer's certificate has none of the DNS names %v; remedy: issue a certificate for the role of the peer", roles)
	}
}

// currentCredentials returns the credentials in use. It first reloads the files
// if they have changed, checking them at most once per checkInterval. If the
// changed files are invalid, the previous credentials stay in use.
func (s *Source) currentCredentials() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.lastCheck) < checkInterval {
		return s.current
	}
	s.lastCheck = time.Now()
	fileStates, err := s.statFiles()
	if err == nil && fileStates == s.current.fileStates {
		return s.current
	}
	loaded, err := s.load()
	if err != nil {
		log.Error(err, "The changed certificate files are invalid; the previous certificates stay in use.")
		s.counter.Count("tls", "reload_failed")
		return s.current
	}
	s.current = loaded
	log.Info("The changed certificate files were reloaded.")
	s.counter.Count("tls", "reloaded")
	return s.current
}

func (s *Source) paths() [3]string {
	return [3]string{s.files.Certificate, s.files.Key, s.files.Authority}
}

func (s *Source) statFiles() ([3]fileState, error) {
	var fileStates [3]fileState
	for i, name := range s.paths() {
		info, err := os.Stat(name)
		if err != nil {
			return fileStates, &Problem{File: name, What: err.Error(), Remedy: "create the file and make it readable by this process"}
		}
		fileStates[i] = fileState{modified: info.ModTime(), size: info.Size()}
	}
	return fileStates, nil
}

func (s *Source) load() (*credentials, error) {
	fileStates, err := s.statFiles()
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if err != nil {
		return nil, &Problem{File: s.files.Certificate, What: err.Error(), Remedy: "use a PEM certificate and the matching PEM private key"}
	}
	data, err := os.ReadFile(s.files.Authority)
	if err != nil {
		return nil, &Problem{File: s.files.Authority, What: err.Error(), Remedy: "create the file and make it readable by this process"}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &Problem{File: s.files.Authority, What: "contains no PEM certificate", Remedy: "write the CA certificates as PEM"}
	}
	return &credentials{certificate: certificate, caPool: pool, fileStates: fileStates}, nil
}
