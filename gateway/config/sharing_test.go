package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"flamingospar.org/gateway/config"
)

func TestServicesThatShareARoute(t *testing.T) {
	c, err := config.New([]byte(`{"version":1,"services":[{"name":"a"},{"name":"b"},{"name":"c"}],"routes":[
		{"name":"split","host":"h","path_prefix":"/s/","kind":"stream","split":[{"service":"b","weight":1},{"service":"a","weight":1}]},
		{"name":"alone","host":"h","path_prefix":"/c/","kind":"stream","service":"c"}]}`))
	require.NoError(t, err)
	require.Equal(t, []string{"a", "b"}, c.Sharing("a"))
	require.Equal(t, []string{"a", "b"}, c.Sharing("b"))
	require.Empty(t, c.Sharing("c"))
}
