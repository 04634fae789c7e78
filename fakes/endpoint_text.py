"""Deterministic answers of the fake engine, and the tokens and blocks of prompts."""

import re

import xxhash

# 16 syllables, so that a token of three has 4,096 forms.
SYLLABLES = ("ba", "ce", "di", "fo", "gu", "la", "me", "ni") + (
    ("po", "ru", "sa", "te", "vi", "zo", "chu", "lla")
)
BLOCK_CHARS = 64  # characters in a block of the prefix cache
CHARS_PER_TOKEN = 4  # estimate for prompts
TOKENS_DIRECTIVE = re.compile(r"#tokens=(\d{1,6})")


def token_at(seed: int, index: int) -> str:
    """Return the text of the token at ``index`` of the answer to a prompt."""
    bits = xxhash.xxh64_intdigest(index.to_bytes(4, "big"), seed)
    first, second, third = bits & 15, bits >> 4 & 15, bits >> 8 & 15
    return f" {SYLLABLES[first]}{SYLLABLES[second]}{SYLLABLES[third]}"


def prompt_seed(prompt: str) -> int:
    """Return the seed that determines the answer to a prompt."""
    return xxhash.xxh64_intdigest(prompt.encode())


def full_answer_tokens(prompt: str, usual_tokens: int) -> int:
    """Return the number of tokens of a full answer.

    It is the N of the last ``#tokens=N`` in the prompt, or else a pseudo-random number
    from half to one and a half times ``usual_tokens``.
    """
    found = TOKENS_DIRECTIVE.findall(prompt)
    if found:
        return int(found[-1])
    return max(1, usual_tokens // 2 + prompt_seed(prompt) % (usual_tokens + 1))


def expected_tokens(prompt: str, max_tokens: int, usual_tokens: int = 32) -> list[str]:
    """Return the tokens that a fake engine generates for a prompt."""
    seed = prompt_seed(prompt)
    count = min(full_answer_tokens(prompt, usual_tokens), max_tokens)
    return [token_at(seed, index) for index in range(count)]


def expected_text(prompt: str, max_tokens: int, usual_tokens: int = 32) -> str:
    """Return the text that a fake engine generates for a prompt."""
    return "".join(expected_tokens(prompt, max_tokens, usual_tokens))


def render_messages(messages: list[dict]) -> str:
    """Return the prompt text of a chat."""
    return "".join(f"{item['role']}: {item['content']}\n" for item in messages)


def chat_text_of(prompt: str, max_tokens: int = 4096) -> str:
    """Return the text that a fake engine generates for a chat of one user message."""
    rendered = render_messages([{"role": "user", "content": prompt}])
    return expected_text(rendered, max_tokens)


def tokens_in_prefix(seed: int, prefix: str) -> tuple[int, str]:
    """Return the number of tokens that begin in a prefix, and the rest of the last.

    The rest is empty if the prefix ends between two tokens.
    """
    index = length = 0
    while length < len(prefix):
        token = token_at(seed, index)
        length += len(token)
        index += 1
    if length == len(prefix):
        return index, ""
    return index, token_at(seed, index - 1)[len(prefix) - length :]


def split_completion_prompt(text: str) -> tuple[str, str]:
    """Split a completion prompt into the original prompt and the answer so far.

    A caller resumes an answer by sending the prompt with the text so far appended. So
    the longest ending that the engine would have generated itself is the answer.
    """
    start = text.find(" ")
    while start != -1:
        prompt, answer = text[:start], text[start:]
        seed = prompt_seed(prompt)
        if _generates(seed, answer):
            return prompt, answer
        start = text.find(" ", start + 1)
    return text, ""


def _generates(seed: int, answer: str) -> bool:
    """Return whether the answer consists of whole tokens of this seed."""
    position = index = 0
    while position < len(answer):
        token = token_at(seed, index)
        if not answer.startswith(token, position):
            return False
        position += len(token)
        index += 1
    return True


def block_hashes(prompt: str) -> list[str]:
    """Return the chained xxh64 digests of the prompt's complete blocks."""
    digest = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.hexdigest())
    return hashes
