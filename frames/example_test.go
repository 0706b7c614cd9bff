package frames_test

import (
	"fmt"

	"filberttrack.example/track/frames"
)

func ExampleTranscript_Resume() {
	transcript, err := frames.NewTranscript([]byte(`{"max_tokens":9,"messages":[{"role":"user","content":"Why?"}]}`), false)
	if err != nil {
		panic(err)
	}
	if _, err = transcript.Relay([]byte(`{"id":"a","choices":[{"delta":{"content":"The mill "}}]}`)); err != nil {
		panic(err)
	}
	body, err := transcript.Resume()
	fmt.Println(string(body), err)
	// Output:
	// {"add_generation_prompt":false,"continue_final_message":true,"max_tokens":8,"messages":[{"role":"user","content":"Why?"},{"role":"assistant","content":"The mill "}]} <nil>
}
