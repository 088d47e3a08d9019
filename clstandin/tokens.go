// This file defines the deterministic tokens of the stand-in engine.

package clstandin

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// minAnswerTokens and answerTokensRange bound answers of requests without max_tokens.
	minAnswerTokens   = 32
	answerTokensRange = 96
	tokenLetters      = "abcdefghijklmnopqrstuvwxyz234567"
)

// Token returns the text of the answer's token at a position, counted from 0.
// It depends on the prompt and the position only and is
// clendpoint.BytesPerToken long.
func Token(prompt string, position int) string { return token(xxhash.Sum64String(prompt), position) }

// AnswerText returns the whole answer of n tokens to a prompt.
func AnswerText(prompt string, n int) string {
	seed := xxhash.Sum64String(prompt)
	var b strings.Builder
	for i := range n {
		b.WriteString(token(seed, i))
	}
	return b.String()
}

// AnswerTokens returns the number of tokens of the answer to a prompt, and
// whether it is cut at maxTokens; maxTokens 0 means no limit.
func AnswerTokens(prompt string, maxTokens int) (n int, cut bool) {
	if maxTokens > 0 {
		return maxTokens, true
	}
	return minAnswerTokens + int(xxhash.Sum64String(prompt)%answerTokensRange), false
}

func token(seed uint64, position int) string {
	// One round of the SplitMix64 finalizer separates neighbouring positions.
	x := seed + uint64(position+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	x ^= x >> 31
	return string([]byte{' ', tokenLetters[x&31], tokenLetters[x>>5&31], tokenLetters[x>>10&31]})
}
