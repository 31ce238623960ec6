// Package credentials maps operators' credentials to their names and roles, as
// listed in a file that is reloaded when it changes.
package credentials

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"os"
	"sync"
	"time"

	"flamingospar.org/base/logging"
	"flamingospar.org/core/key"
	"flamingospar.org/core/strict"
	"flamingospar.org/entry/operator"
)

// checkInterval is the shortest time between checks of the file.
const checkInterval = time.Second

var log = logging.For("entry/credentials")

// Entry is one operator in the file.
type Entry struct {
	Name string        `toml:"name"`
	Role operator.Role `toml:"role"`
	Hash string        `toml:"credential_sha256"` // Hex SHA-256 of the credential.
}

type document struct {
	Operators []Entry `toml:"operator"`
}

// Counter counts events by name.
type Counter interface {
	Count(parts ...string)
}

// Store holds the operators from the last valid version of the file. It implements
// operator.Access.
type Store struct {
	file    string
	counter Counter

	mu        sync.Mutex
	entries   []Entry
	modTime   time.Time
	size      int64
	checkedAt time.Time
}

// Hash returns the hex SHA-256 of a credential, as stored in the file.
func Hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Load reads the file and returns an error if it is not valid.
func Load(file string, counter Counter) (*Store, error) {
	store := &Store{file: file, counter: counter}
	if err := store.read(); err != nil {
		return nil, err
	}
	return store, nil
}

// Identify returns the operator with this credential. It compares the hash with
// each operator's in constant time.
func (s *Store) Identify(credential string) (operator.Identity, bool) {
	if !key.IsValid(key.OperatorPrefix, credential) {
		return operator.Identity{}, false
	}
	hash := []byte(Hash(credential))
	found := -1
	entries := s.current()
	for i, entry := range entries {
		if subtle.ConstantTimeCompare(hash, []byte(entry.Hash)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return operator.Identity{}, false
	}
	return operator.Identity{Name: entries[found].Name, Role: entries[found].Role}, true
}

// current returns the operators. It checks the file for changes if the last check
// is at least checkInterval old, and keeps the previous operators if the file is
// not valid.
func (s *Store) current() []Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.checkedAt) < checkInterval {
		return s.entries
	}
	s.checkedAt = time.Now()
	info, err := os.Stat(s.file)
	if err == nil && info.ModTime().Equal(s.modTime) && info.Size() == s.size {
		return s.entries
	}
	if err := s.read(); err != nil {
		log.Error(err, "Reloading the operators file failed; the previous operators stay in force.")
		s.counter.Count("operators", "reload_failed")
		return s.entries
	}
	log.Info("The operators file was reloaded.", "operators", len(s.entries))
	s.counter.Count("operators", "reloaded")
	return s.entries
}

func (s *Store) read() error {
	info, err := os.Stat(s.file)
	if err != nil {
		return fmt.Errorf("operators: %w; remedy: create the file and make it readable for this process", err)
	}
	data, err := os.ReadFile(s.file)
	if err != nil {
		return fmt.Errorf("operators: %w; remedy: create the file and make it readable for this process", err)
	}
	entries, err := Parse(s.file, data)
	if err != nil {
		return err
	}
	s.entries, s.modTime, s.size, s.checkedAt = entries, info.ModTime(), info.Size(), time.Now()
	return nil
}

// Parse reads an operators file strictly and returns all its problems.
func Parse(file string, data []byte) ([]Entry, error) {
	parsed, index, problems := strict.Decode(file, data, func() *document { return new(document) }, remedy)
	if index == nil {
		return nil, problems
	}
	problems = append(problems, check(file, parsed.Operators, index)...)
	if len(problems) > 0 {
		return nil, problems.Ordered()
	}
	return parsed.Operators, nil
}

func check(file string, entries []Entry, index *strict.Index) strict.Problems {
	var problems strict.Problems
	add := func(key, what, remedy string) {
		problems = append(problems, &strict.Problem{File: file, Line: index.Line(key), Key: key, Message: what, Remedy: remedy})
	}
	if len(entries) == 0 {
		add("operator", "the file lists no operator", "write at least one [[operator]]")
	}
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, entry := range entries {
		prefix := fmt.Sprintf("operator[%d]", i)
		if entry.Name == "" || names[entry.Name] {
			add(prefix+".name", "the name is empty or not unique", "give each operator a unique name")
		}
		if !entry.Role.IsValid() {
			add(prefix+".role", "the role is unknown", "write reader or editor")
		}
		if raw, err := hex.DecodeString(entry.Hash); err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != entry.Hash || hashes[entry.Hash] {
			add(prefix+".credential_sha256", "the hash is malformed or not unique", "write the hash that `flamingospar operator issue` printed, in lower-case hex")
		}
		names[entry.Name] = true
		hashes[entry.Hash] = true
	}
	return problems
}

func remedy(string) string { return "write a quoted string" }
