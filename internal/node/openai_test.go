package node

import (
	"context"
	"net"
	"strings"
	"testing"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/adminclient"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/emulator"
	"ringstream.example/ringstream/internal/tlsconfig"
)

// TestOfficialClientAgainstANode checks that the official OpenAI client receives
// exactly the tokens of the emulated engine through a complete node, both in one
// response and as a stream.
func TestOfficialClientAgainstANode(t *testing.T) {
	platform, err := emulator.StartFleet(emulator.DefaultFleetConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer platform.Close()
	network := &listeningNetwork{listeners: make(map[string]net.Listener)}
	config := testSettings(t, network, platform, "n1", tlsconfig.Config{})
	made, err := New(config, zap.NewNop(), WithNetwork(network))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- made.Run(ctx) }()
	operator, err := adminclient.New(adminclient.Options{Server: "http://" + config.Admin.Address, Key: "operator"})
	if err != nil {
		t.Fatal(err)
	}
	defer operator.Close()
	retryUntilOK(t, "a row", func() error {
		_, err := operator.PutRow(ctx, policy.Row{
			ID: "all", Match: policy.Match{Tenant: policy.Any, Model: policy.Any, Kind: policy.Any},
			Weight: 1, DeadlineClass: policy.DeadlineInteractive, NewSiteShare: 1, Pool: "fleetlink",
		})
		return err
	})
	const model, prompt, tokens = "fleetlink-llm", "hydraulic pressure low", 12
	want := strings.Join(emulator.ExpectedTokens(model, prompt, tokens), "")
	client := openai.NewClient(option.WithBaseURL("http://"+config.Gateway.HTTP.Address+"/v1/"), option.WithAPIKey("caller"))
	request := openai.CompletionNewParams{
		Model: model, MaxTokens: openai.Int(tokens), Temperature: openai.Float(0.2),
		Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String(prompt)},
	}
	retryUntilOK(t, "a whole answer", func() error {
		whole, err := client.Completions.New(ctx, request)
		if err == nil && whole.Choices[0].Text != want {
			t.Errorf("complete response: %q, want %q", whole.Choices[0].Text, want)
		}
		return err
	})
	var streamed strings.Builder
	stream := client.Completions.NewStreaming(ctx, request)
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			streamed.WriteString(choices[0].Text)
		}
	}
	if err := stream.Err(); err != nil || streamed.String() != want {
		t.Errorf("streamed response: %q, error %v; want %q", streamed.String(), err, want)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
