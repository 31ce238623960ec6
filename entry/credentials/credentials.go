// Package credentials knows the operators and the roles that their credentials
// give them, from a file that is read again when it changes.
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

// checkInterval bounds how often the file is looked at.
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

// Book holds the last sound content of the file. It implements operator.Access.
type Book struct {
	file    string
	counter Counter

	mu       sync.Mutex
	entries  []Entry
	modified time.Time
	size     int64
	checked  time.Time
}

// Hash returns the form in which a credential stands in the file.
func Hash(credential string) string {
	sum := sha256.Sum256([]byte(credential))
	return hex.EncodeToString(sum[:])
}

// Load reads the file; it must be sound.
func Load(file string, counter Counter) (*Book, error) {
	book := &Book{file: file, counter: counter}
	if err := book.read(); err != nil {
		return nil, err
	}
	return book, nil
}

// Identify implements operator.Access. It compares with each operator's hash
// in constant time.
func (b *Book) Identify(credential string) (operator.Identity, bool) {
	if !key.IsValid(key.OperatorPrefix, credential) {
		return operator.Identity{}, false
	}
	hash := []byte(Hash(credential))
	found := -1
	entries := b.held()
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

// held returns the operators after a look at the file when the last one is
// checkInterval old. A file that is not sound leaves the last ones in force.
func (b *Book) held() []Entry {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Since(b.checked) < checkInterval {
		return b.entries
	}
	b.checked = time.Now()
	info, err := os.Stat(b.file)
	if err == nil && info.ModTime().Equal(b.modified) && info.Size() == b.size {
		return b.entries
	}
	if err := b.read(); err != nil {
		log.Error(err, "The changed file of operators is not sound; the last one stays in force.")
		b.counter.Count("operators", "reload_failed")
		return b.entries
	}
	log.Info("The changed file of operators is in force.", "operators", len(b.entries))
	b.counter.Count("operators", "reloaded")
	return b.entries
}

func (b *Book) read() error {
	info, err := os.Stat(b.file)
	if err != nil {
		return fmt.Errorf("operators: %w; remedy: put the file there, readable by this process", err)
	}
	data, err := os.ReadFile(b.file)
	if err != nil {
		return fmt.Errorf("operators: %w; remedy: put the file there, readable by this process", err)
	}
	entries, err := Parse(b.file, data)
	if err != nil {
		return err
	}
	b.entries, b.modified, b.size, b.checked = entries, info.ModTime(), info.Size(), time.Now()
	return nil
}

// Parse reads a file of operators strictly and returns all its faults.
func Parse(file string, data []byte) ([]Entry, error) {
	read, index, found := strict.Decode(file, data, func() *document { return new(document) }, remedy)
	if index == nil {
		return nil, found
	}
	found = append(found, check(file, read.Operators, index)...)
	if len(found) > 0 {
		return nil, found.Ordered()
	}
	return read.Operators, nil
}

func check(file string, entries []Entry, index *strict.Index) strict.Problems {
	var found strict.Problems
	problem := func(key, what, remedy string) {
		found = append(found, &strict.Problem{File: file, Line: index.Line(key), Key: key, Message: what, Remedy: remedy})
	}
	if len(entries) == 0 {
		problem("operator", "the file names no operator", "write at least one [[operator]]")
	}
	names := make(map[string]bool)
	hashes := make(map[string]bool)
	for i, entry := range entries {
		at := fmt.Sprintf("operator[%d]", i)
		if entry.Name == "" || names[entry.Name] {
			problem(at+".name", "the name is empty or stands twice", "write a name of its own for each operator")
		}
		if !entry.Role.IsValid() {
			problem(at+".role", "the role is unknown", "write reader or editor")
		}
		if raw, err := hex.DecodeString(entry.Hash); err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != entry.Hash || hashes[entry.Hash] {
			problem(at+".credential_sha256", "the hash is malformed or stands twice", "write what `flamingospar operator issue` printed, in lower-case hex")
		}
		names[entry.Name] = true
		hashes[entry.Hash] = true
	}
	return found
}

func remedy(string) string { return "write one quoted text" }
