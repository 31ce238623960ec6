package settings

import (
	"time"

	"flamingospar.org/core/catalogue"
)

// Usage configures sealing and reporting beside the lengths at the top level.
type Usage struct {
	// IdleClose is after how long of silence the receiver of usage reports
	// closes a connection. Ask the platform's operators.
	IdleClose catalogue.Duration `toml:"idle_close"`
	// Remember is the oldest age of a record that is still counted.
	Remember catalogue.Duration `toml:"remember"`
	// Keep is how long reported windows stay in the table service.
	Keep catalogue.Duration `toml:"keep"`
}

func defaultUsage() Usage {
	return Usage{
		IdleClose: catalogue.Duration(5 * time.Second),
		Remember:  catalogue.Duration(7 * 24 * time.Hour),
		Keep:      catalogue.Duration(2 * time.Hour),
	}
}
