package node

import (
	"context"
	"os"
	"time"

	"flamingospar.org/platform/site"
)

// settingsEvery is how often the settings file is looked at; it may change
// without a signal.
const settingsEvery = 2 * time.Second

// watchSettings calls changed with the settings whenever the file at path has
// changed and can be read. reload asks for a look at once.
func watchSettings(ctx context.Context, path string, reload <-chan os.Signal, changed func(site.Settings)) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	last := modified(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		now := modified(path)
		if now.Equal(last) && !signalled {
			continue
		}
		last = now
		settings, err := site.ReadSettings(path)
		if err != nil {
			log.Error(err, "The settings file can't be read; the former settings stay in force.", "path", path)
			continue
		}
		log.Info("The settings were read again.", "path", path, "signalled", signalled)
		changed(settings)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
