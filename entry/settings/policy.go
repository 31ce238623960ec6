package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

// Policy configures admission at the entry.
type Policy struct {
	FirstToken          catalogue.Duration `toml:"first_token"`   // Bound of interactive models.
	EarlyRefusal        bool               `toml:"early_refusal"` // Refuse what would miss it.
	PrefixBytes         int                `toml:"prefix_bytes"`  // Of a prompt, that tell like prompts.
	DefaultOutputTokens int                `toml:"output_guess"`  // Output tokens of a team without answers.
}

// DefaultPolicy returns the policy for settings that a file does not set.
func DefaultPolicy() Policy {
	return Policy{
		FirstToken:          catalogue.Duration(440 * time.Millisecond),
		EarlyRefusal:        true,
		PrefixBytes:         256,
		DefaultOutputTokens: 128,
	}
}

func (p Policy) check() error {
	switch {
	case p.FirstToken <= 0:
		return &Problem{Key: "policy.first_token", Message: "is not positive", Remedy: `write a duration such as "440ms"`}
	case p.PrefixBytes <= 0:
		return &Problem{Key: "policy.prefix_bytes", Message: "is not positive", Remedy: "write a number of bytes"}
	case p.DefaultOutputTokens <= 0:
		return &Problem{Key: "policy.output_guess", Message: "is not positive", Remedy: "write a number of tokens"}
	}
	return nil
}
