"""Generator of scenarios with random faults."""

import random

DATA_CENTRES = {
    "guayas": ("gye-norte", "gye-sur", "duran"),
    "bortolini": ("sul-a", "sul-b", "sul-c"),
}
POOLS = {
    "guayas": ("rattan-afila", "agenda-vans"),
    "bortolini": ("tear-llm", "livro-pedidos"),
}
PLATFORM_FAULTS = (  # name, value that starts the fault, value that ends it
    ("table_down", "true", "false"),
    ("table_hang", "true", "false"),
    ("object_down", "true", "false"),
    ("list_down", "true", "false"),
    ("list_lag_seconds", "20", "0"),
    ("lose_table_answers", "8", "0"),
    ("table_answer_delay_seconds", "1", "0"),
)
ENDPOINT_FAULTS = (
    ("slow_factor", "5"),
    ("truncate_times", "4"),
    ("wrong_id_times", "4"),
    ("stall_times", "3"),
    ("lose_answers", "3"),
    ("busy_times", "5"),
)
ROUNDS = 5


def generate_scenario(seed: int) -> str:
    """Return the text of a scenario; equal seeds give equal texts.

    At most one node is lost without notice. If the serving node and the backup node
    of a request are lost at the same time, the request may be lost.
    """
    rng = random.Random(seed)
    deployment = rng.choice(sorted(DATA_CENTRES))
    data_centres = rng.sample(DATA_CENTRES[deployment], 3)
    lines = [f"deployment {deployment}", f"seed {1000 + seed}"]
    lines += ["setting drain.notice_seconds = 3", "engines token_seconds = 0.02"]
    lines += ["start"]
    lines += _load_steps(rng, data_centres)
    end_steps: list[str] = []
    node_faults = _node_fault_steps(rng, data_centres)
    for index in range(ROUNDS):
        lines.append(f"wait {rng.uniform(0.4, 2.0):.1f} s")
        if index < len(node_faults):
            lines.append(node_faults[index])
        fault, start, end = rng.choice(PLATFORM_FAULTS)
        lines.append(f"fault platform {fault} = {start}")
        end_steps.append(f"fault platform {fault} = {end}")
        lines += _endpoint_fault_steps(rng, POOLS[deployment], data_centres)
    lines += [f"wait {rng.uniform(1.0, 4.0):.1f} s", *end_steps]
    lines += [line.replace("freeze", "thaw") for line in lines if "freeze" in line]
    lines += ["expect at most 0 not_run", "expect at most 0 failed"]
    return "\n".join(lines) + "\n"


def _load_steps(rng: random.Random, data_centres: list[str]) -> list[str]:
    tokens = rng.choice((40, 100, 200))
    return [
        f"chats {rng.randint(10, 40)} of {tokens} tokens over 6 s",
        f"chats 8 of 200 tokens over 2 s at node {data_centres[0]}-1",
        f"completions {rng.randint(2, 8)} of {tokens} tokens over 6 s",
        f"bookings {rng.randint(5, 15)} over 6 s sent 2 times",
    ]


def _node_fault_steps(rng: random.Random, data_centres: list[str]) -> list[str]:
    """Return two faults of nodes in the first two data centres, in random order.

    One comes without notice, the other with a notice or as a planned stop.
    """
    unannounced = rng.choice(("kill", "freeze"))
    announced = rng.choice(
        (
            f"reclaim node {data_centres[1]}-1 in 3 s",
            f"reclaim data_centre {data_centres[1]} in 3 s",
            f"stop node {data_centres[1]}-2",
        )
    )
    faults = [f"{unannounced} node {data_centres[0]}-1", announced]
    rng.shuffle(faults)
    return faults


def _endpoint_fault_steps(
    rng: random.Random, pools: tuple[str, ...], data_centres: list[str]
) -> list[str]:
    endpoint = f"{rng.choice(pools)}-{rng.choice(data_centres)}-1"
    name, value = rng.choice(ENDPOINT_FAULTS)
    lines = [f"fault endpoint {endpoint} {name} = {value}"]
    if name == "truncate_times":
        lines.append(f"fault endpoint {endpoint} truncate_after = 10")
    if name == "stall_times":
        lines.append(f"fault endpoint {endpoint} stall_seconds = 3")
    return lines
