"""Outcomes are correct under any faults of the endpoints, for fixed seeds."""

import json
import random
from collections import Counter

import gevent

from fakes.endpoint_text import chat_text_of
from tests.request_case import SERVICE, RequestCase, events_of, text_of

ENGINE_FAULTS = (
    {"truncate_after": 2, "truncate_times": 2},
    {"truncate_after": 1, "truncate_times": 1},
    {"wrong_id_times": 2},
    {"busy_times": 2},
    {"lose_answers": 2},
    {"stall_seconds": 0.15, "stall_times": 2},
    {"slow_factor": 5.0},
    {"down": True, "down_seconds": 0.1},
)
SERVICE_FAULTS = (
    {"lose_answers": 2},
    {"wrong_id_times": 1},
    {"busy_times": 2},
    {"stall_seconds": 0.15, "stall_times": 2},
    {"down": True, "down_seconds": 0.1},
)
SEEDS = range(6)
REQUESTS = 16


class OutcomeTests(RequestCase):
    """Guard against wrong answers and outcomes while endpoints fail at random."""

    def inject_faults(self, rng: random.Random) -> None:
        for _ in range(2):
            for name, fake in self.fakes.items():
                choices = ENGINE_FAULTS if fake.kind == "engine" else SERVICE_FAULTS
                self.fault(name, **rng.choice(choices))
            gevent.sleep(rng.random() * 0.1)

    def run_all(self, seed: int, send) -> list:
        rng = random.Random(seed)
        fault_task = gevent.spawn(self.inject_faults, rng)
        tasks = []
        for number in range(REQUESTS):
            tasks.append(gevent.spawn(send, number))
            gevent.sleep(rng.random() * 0.01)
        gevent.joinall([fault_task, *tasks], timeout=15, raise_error=True)
        return [task.value for task in tasks]

    def test_an_answered_model_request_has_its_own_complete_answer(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()

                def send(number):
                    prompt = f"question {number} #tokens=8"
                    return prompt, self.chat(prompt, stream=number % 2 == 0)

                for prompt, answer in self.run_all(seed, send):
                    self.check_model_answer(prompt, answer)
                self.assertEqual(sum(self.services.router.in_flight.values()), 0)
                self.assertEqual(self.services.grants.open, 0)
                self.doCleanups()

    def check_model_answer(self, prompt, answer):
        outcome = answer.outcome
        if answer.headers["content-type"] == "text/event-stream":
            outcome = events_of(answer.body)[-1]["data"]["rattanwick"]["outcome"]
            text = text_of(answer.body)
            self.assertTrue(chat_text_of(prompt).startswith(text))
        elif outcome == "answered":
            text = answer.json()["choices"][0]["message"]["content"]
        if outcome == "answered":
            self.assertEqual(text, chat_text_of(prompt))
        if outcome == "not_run":
            ran = [e.request_id for e in self.ledger("e1", "e2", "e3") if e.ran]
            self.assertNotIn(answer.request_id, ran)

    def test_a_booking_runs_at_most_once_and_never_if_reported_as_not_run(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.setUp()

                def send(number):
                    key = f"key-{number % 8}"
                    body = json.dumps({"van": number % 8}).encode()
                    deadline = "100" if number % 4 == 3 else "5000"
                    headers = {
                        "Idempotency_Key": key,
                        "Rattanwick_Deadline_Ms": deadline,
                    }
                    return key, self.call("POST", SERVICE, body, **headers)

                answers = self.run_all(seed, send)
                runs = Counter(e.key for e in self.ledger("s1", "s2") if e.ran)
                self.assertLessEqual(max(runs.values(), default=0), 1)
                ran = {e.request_id for e in self.ledger("s1", "s2") if e.ran}
                for key, answer in answers:
                    if answer.outcome == "not_run":
                        self.assertNotIn(answer.request_id, ran)
                    if answer.outcome == "answered":
                        self.assertEqual(runs[key], 1)
                self.assertEqual(sum(self.services.router.in_flight.values()), 0)
                self.doCleanups()
