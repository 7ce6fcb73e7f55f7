package steering_test

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/turmericrock/turmericrock/flow"
	"github.com/turmericrock/turmericrock/steering"
)

func numberedKey(n int) flow.Key {
	var k flow.Key
	binary.LittleEndian.PutUint32(k.Requester.Addr[:], uint32(n))
	return k
}

// Guards against a question being lost, sent twice, sent in too large a frame, or waiting for
// longer than it may, and against more than a frame in each QuestionDelay to one target.
func TestQuestionsWaitForNoLongerThanTheyMay(t *testing.T) {
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := steering.NewQuestionBatcher()
		latest, frames, full, now := make(map[flow.Key]time.Duration), make(map[steering.QuestionTarget]int), 0, time.Second
		send := func() {
			for _, batch := range b.Due(now) {
				must.Between(t, 1, len(batch.Keys), steering.MaxBatchedQuestions)
				if len(batch.Keys) == steering.MaxBatchedQuestions {
					full++
				}
				frames[batch.Target]++
				for _, key := range batch.Keys {
					until, waiting := latest[key]
					must.True(t, waiting)
					must.LessEq(t, until, now)
					delete(latest, key)
				}
			}
		}
		const questions = 20_000
		for n := range questions {
			next := now + time.Duration(r.IntN(400))*time.Microsecond
			for at, waiting := b.NextDue(); waiting && at <= next; at, waiting = b.NextDue() {
				now = max(now, at)
				send()
			}
			now = next
			target := steering.QuestionTarget{Agent: [4]byte{10, 0, 0, byte(r.IntN(4))}}
			wait := b.Ask(target, numberedKey(n), now, steering.QuestionDelay)
			must.LessEq(t, steering.QuestionDelay, wait)
			latest[numberedKey(n)] = now + wait
		}
		elapsed := now - time.Second
		for at, waiting := b.NextDue(); waiting; at, waiting = b.NextDue() {
			now = max(now, at)
			send()
		}
		must.MapEmpty(t, latest)
		for _, sent := range frames {
			must.LessEq(t, int(elapsed/steering.QuestionDelay)+full+2, sent)
		}
	}
}

// Guards against the first question after a pause waiting, against a question that may not
// wait being held back, and against others waiting on after it.
func TestFirstQuestionAndUrgentOnesAreSentAtOnce(t *testing.T) {
	b, target := steering.NewQuestionBatcher(), steering.QuestionTarget{Agent: [4]byte{10, 0, 0, 1}}
	must.Zero(t, b.Ask(target, numberedKey(1), 0, steering.QuestionDelay))
	must.Len(t, 1, b.Due(0))
	must.Eq(t, steering.QuestionDelay-time.Millisecond, b.Ask(target, numberedKey(2), time.Millisecond, steering.QuestionDelay))
	must.SliceEmpty(t, b.Due(time.Millisecond))
	must.Zero(t, b.Ask(target, numberedKey(3), 2*time.Millisecond, 0))
	due := b.Due(2 * time.Millisecond)
	must.Len(t, 1, due)
	must.Eq(t, []flow.Key{numberedKey(2), numberedKey(3)}, due[0].Keys)
	_, waiting := b.NextDue()
	must.False(t, waiting)
}

// Guards against memory growing with the number of agents that were ever asked, or with the
// questions to one of them.
func TestWaitingQuestionsTakeBoundedMemory(t *testing.T) {
	b := steering.NewQuestionBatcher()
	waiting, most := 0, 0
	for n := range 200_000 {
		now := time.Duration(n) * 10 * time.Microsecond
		target := steering.QuestionTarget{Agent: [4]byte{10, 0, byte(n >> 8), byte(n)}, ServiceTag: uint32(n)}
		if n%2 == 0 {
			target = steering.QuestionTarget{Agent: [4]byte{10, 0, 0, 1}}
		}
		b.Ask(target, numberedKey(n), now, steering.QuestionDelay)
		waiting++
		if b.Full() || n%100 == 0 {
			for _, batch := range b.Due(now) {
				waiting -= len(batch.Keys)
			}
		}
		most = max(most, waiting, b.Targets())
	}
	must.LessEq(t, 4096+2*steering.MaxBatchedQuestions, most)
	b.Due(time.Hour)
	b.Expire(2 * time.Hour)
	must.Zero(t, b.Targets())
}
