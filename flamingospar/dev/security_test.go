package dev

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"
	"k8s.io/klog/v2"

	"flamingospar.org/base/logging"
	"flamingospar.org/base/meter"
	"flamingospar.org/base/netx"
	"flamingospar.org/base/tlsfiles"
	"flamingospar.org/entry/credentials"
	"flamingospar.org/entry/operator"
	"flamingospar.org/standin/memnet"
	wirev1 "flamingospar.org/wire/gen/flamingospar/wire/v1"
	"flamingospar.org/wire/gen/flamingospar/wire/v1/wirev1connect"
)

// certificateAuthority signs the certificates of a test.
type certificateAuthority struct {
	t           *testing.T
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	template := certificateTemplate("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	data, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	certificate, err := x509.ParseCertificate(data)
	require.NoError(t, err)
	return certificateAuthority{t: t, certificate: certificate, key: key}
}

func certificateTemplate(name string) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(24 * time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

// issue writes the TLS files of a process whose certificate has the DNS names.
func (a certificateAuthority) issue(directory string, names ...string) tlsfiles.Files {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	template := certificateTemplate(names[0])
	template.DNSNames = names
	data, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	private, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	files := tlsfiles.Files{
		Certificate: filepath.Join(directory, "certificate.pem"),
		Key:         filepath.Join(directory, "key.pem"),
		Authority:   filepath.Join(directory, "authority.pem"),
	}
	require.NoError(a.t, os.MkdirAll(directory, 0o700))
	a.writePEM(files.Certificate, "CERTIFICATE", data)
	a.writePEM(files.Key, "EC PRIVATE KEY", private)
	a.writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw)
	return files
}

func (a certificateAuthority) writePEM(name, kind string, data []byte) {
	require.NoError(a.t, os.WriteFile(name, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}

// agentStatusWithFiles requests an agent's status with the certificate in files.
func agentStatusWithFiles(t *testing.T, network *memnet.Network, address string, files tlsfiles.Files) error {
	t.Helper()
	source, err := tlsfiles.Load(files, meter.NewRegistry())
	require.NoError(t, err)
	client := netx.HTTP2Client(netx.WithTLS(network.Host("stranger"), func() *tls.Config { return source.Client(tlsfiles.AgentName) }))
	defer client.CloseIdleConnections()
	return agentStatus(t, client, address)
}

func agentStatus(t *testing.T, client *http.Client, address string) error {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	agent := wirev1connect.NewAgentServiceClient(client, "http://"+address, connect.WithGRPC())
	_, err := agent.Status(ctx, connect.NewRequest(new(wirev1.StatusRequest)))
	return err
}

func TestAgentsServeEntriesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(testLatency)
		home := t.TempDir()
		ca, otherCA := newCertificateAuthority(t), newCertificateAuthority(t)
		entryFiles := ca.issue(filepath.Join(home, "entry"), tlsfiles.NodeName, tlsfiles.EntryName)
		agentFiles := ca.issue(filepath.Join(home, "agent"), tlsfiles.NodeName, tlsfiles.AgentName)
		system, client := startTestSystemWith(t, network, Options{Fleet: "shedline", Entries: 2, EntryTLS: entryFiles, AgentTLS: agentFiles})
		requireChat(t, system, client)
		address := agentAddress(t, system)

		require.NoError(t, agentStatusWithFiles(t, network, address, entryFiles))
		require.Error(t, agentStatusWithFiles(t, network, address, agentFiles), "certificate of an agent, not of an entry")
		otherCAFiles := otherCA.issue(filepath.Join(home, "strange"), tlsfiles.NodeName, tlsfiles.EntryName)
		require.Error(t, agentStatusWithFiles(t, network, address, otherCAFiles), "certificate of another authority")
		plain := netx.HTTP2Client(network.Host("stranger"))
		defer plain.CloseIdleConnections()
		require.Error(t, agentStatus(t, plain, address), "no TLS")

		requireReload(t, network, agentFiles, entryFiles, otherCA, address)
		requireChat(t, system, client)
	})
}

// requireReload changes the agents' files in place. Invalid files must have no
// effect; with valid ones, certificates of the new authority are accepted.
func requireReload(t *testing.T, network *memnet.Network, agentFiles, entryFiles tlsfiles.Files, otherCA certificateAuthority, address string) {
	t.Helper()
	next := otherCA.issue(filepath.Join(t.TempDir(), "next"), tlsfiles.NodeName, tlsfiles.EntryName)
	both := otherCA.issue(filepath.Join(t.TempDir(), "both"), tlsfiles.NodeName, tlsfiles.AgentName)
	old, err := os.ReadFile(agentFiles.Authority)
	require.NoError(t, err)
	added, err := os.ReadFile(both.Authority)
	require.NoError(t, err)

	require.NoError(t, os.WriteFile(agentFiles.Authority, []byte("unsound"), 0o600))
	time.Sleep(2 * time.Second)
	require.Error(t, agentStatusWithFiles(t, network, address, next))
	require.NoError(t, agentStatusWithFiles(t, network, address, entryFiles), "last valid files must stay in use")

	require.NoError(t, os.WriteFile(agentFiles.Authority, append(old, added...), 0o600))
	time.Sleep(2 * time.Second)
	// The agent's own certificate is still signed by the first authority.
	require.NoError(t, os.WriteFile(next.Authority, append(added, old...), 0o600))
	require.NoError(t, agentStatusWithFiles(t, network, address, next))
}

func agentAddress(t *testing.T, system *System) string {
	t.Helper()
	list, err := system.Standins.Platform.VMs(t.Context())
	require.NoError(t, err)
	return list[0].Address
}

func requireChat(t *testing.T, system *System, client *http.Client) {
	t.Helper()
	response := post(t, client, system.URL+"/v1/chat/completions", system.Keys[0].Key, validChat)
	defer response.Body.Close()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestOperatorRolesAndNoSecretsInOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged bytes.Buffer
		require.NoError(t, logging.SetFormat(logging.FormatJSON, &logged))
		defer klog.ClearLogger()
		file := filepath.Join(t.TempDir(), "operators.toml")
		reader, editor := operator.NewCredential(), operator.NewCredential()
		lines := operatorLines("rita", operator.Reader, reader) + operatorLines("ed", operator.Editor, editor)
		require.NoError(t, os.WriteFile(file, []byte(lines), 0o600))
		network := memnet.New(testLatency)
		system, client := startTestSystemWith(t, network, Options{Fleet: "shedline", OperatorsFile: file})
		ask := func(method, path, credential, body string) (int, string) {
			return askOperator(t, client, system, method, path, credential, body)
		}
		issue := `{"team":"support","operator":"somebody else"}`
		for _, c := range []struct {
			method, path, credential, body string
			status                         int
		}{
			{"GET", "/v1/catalogue", "", "", 401},
			{"GET", "/metrics", "fso_wrong", "", 401},
			{"GET", "/v1/catalogue", operator.NewCredential(), "", 401},
			{"GET", "/v1/catalogue", system.Keys[0].Key, "", 401},
			{"GET", "/healthz", "", "", 200},
			{"GET", "/readyz", "", "", 200},
			{"GET", "/v1/catalogue", reader, "", 200},
			{"POST", "/v1/keys", reader, issue, 403},
			{"PUT", "/v1/catalogue", reader, "{}", 403},
			{"PUT", "/v1/catalogue", editor, `{"catalogue":{"teams":[]}}`, 422},
			{"PUT", "/v1/catalogue", editor, `{"catalog":1}`, 422},
			{"POST", "/v1/catalogue/check", reader, `{"file":"x","toml":"[[team]]\nname='a'\nweight=1.0"}`, 422},
			{"BREW", "/v1/keys", editor, "", 405},
			{"GET", "/v1/nothing", editor, "", 404},
			{"DELETE", "/v1/keys/none", editor, "", 404},
		} {
			status, body := ask(c.method, c.path, c.credential, c.body)
			require.Equal(t, c.status, status, "%s %s: %s", c.method, c.path, body)
		}
		status, issued := ask("POST", "/v1/keys", editor, issue)
		require.Equal(t, http.StatusOK, status, issued)
		secret := issued[strings.Index(issued, "fsk_"):][:36]
		_, history := ask("GET", "/v1/history?from=10", reader, "")
		require.Contains(t, history, `"operator":"ed"`)
		require.NotContains(t, history, "somebody else")

		require.NoError(t, os.WriteFile(file, []byte("unsound"), 0o600))
		time.Sleep(2 * time.Second)
		status, _ = ask("GET", "/v1/catalogue", reader, "")
		require.Equal(t, http.StatusOK, status, "last valid file must stay in use")
		require.NoError(t, os.WriteFile(file, []byte(operatorLines("ed", operator.Editor, editor)), 0o600))
		time.Sleep(2 * time.Second)
		status, _ = ask("GET", "/v1/catalogue", reader, "")
		require.Equal(t, http.StatusUnauthorized, status, "operator has been removed")

		for _, bad := range invalidRequests(secret) {
			request, err := http.NewRequestWithContext(t.Context(), bad.method, system.URL+bad.path, strings.NewReader(bad.body))
			require.NoError(t, err)
			request.Header = bad.header.Clone()
			response, err := client.Do(request)
			require.NoError(t, err)
			response.Body.Close()
		}
		outputs := logged.String() + history
		for _, path := range []string{"/metrics", "/metrics.json", "/v1/status", "/v1/catalogue", "/v1/keys", "/v1/history"} {
			_, body := ask("GET", path, editor, "")
			outputs += body
		}
		require.True(t, strings.Contains(outputs, "flamingospar_refused_key_misplaced 5"), "each misplaced key must be counted")
		require.True(t, strings.Contains(outputs, "flamingospar_refused_queue_full 0"), "each reason must be shown before its first refusal")
		for i, hidden := range []string{secret, secret[4:], editor, reader, system.Keys[0].Key, credentials.Hash(secret)} {
			require.False(t, strings.Contains(outputs, hidden), "secret %d appears in an output", i)
		}
		requireNothingRan(t, system)
	})
}

func operatorLines(name string, role operator.Role, credential string) string {
	return fmt.Sprintf("[[operator]]\nname = %q\nrole = %q\ncredential_sha256 = %q\n", name, role, credentials.Hash(credential))
}

func askOperator(t *testing.T, client *http.Client, system *System, method, path, credential, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, system.OperatorURL+path, strings.NewReader(body))
	require.NoError(t, err)
	if credential != "" {
		request.Header.Set("Authorization", "Bearer "+credential)
	}
	response, err := client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(data)
}
