package node

import (
	"context"
	"os"
	"time"

	"flamingospar.org/platform/site"
)

// settingsInterval is the time between two checks of the settings file, which
// may change without a signal.
const settingsInterval = 2 * time.Second

// watchSettings calls apply with the new settings whenever the file at path has
// changed and is valid. A signal on reload makes it read the file at once.
func watchSettings(ctx context.Context, path string, reload <-chan os.Signal, apply func(site.Settings)) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modTime(path)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-reload:
			signalled = true
		case <-ticker.C:
		}
		current := modTime(path)
		if current.Equal(last) && !signalled {
			continue
		}
		last = current
		settings, err := site.ReadSettings(path)
		if err != nil {
			log.Error(err, "The settings file can't be read; the previous settings stay in force.", "path", path)
			continue
		}
		log.Info("The settings were reloaded.", "path", path, "signalled", signalled)
		apply(settings)
	}
}

func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
