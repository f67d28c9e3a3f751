"""Rules that map the requests of a source to class, key, tenant, body and client, from a rules file (TOML).

A request that no rule matches is not sent; the patterns of such requests are counted.  The identity of a client is
retained only as a salted hash.  `Mapper` owns the compiled rules, the counts and a cache of hashes.
"""

from __future__ import annotations

import re
import secrets
import tomllib
from collections import Counter
from dataclasses import dataclass
from fnmatch import translate
from hashlib import blake2b
from pathlib import Path
from typing import Annotated, Any, Literal, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from ..config.file_checks import check_fields
from ..config.file_schema import Class
from .entry import Entry, FaultyError

MAX_BODY_BYTES = 65536  # the protocol's limit
MAX_UNMATCHED_PATTERNS = 1000  # patterns that are counted one by one
MAX_CACHED_CLIENTS = 50_000
MAX_PATTERN_PARTS = 8  # parts of a path that a pattern shows
MAX_PATTERN_PART_CHARS = 40
MAX_SALT_BYTES = 64  # of a BLAKE2b key
HASH_BYTES = 8
IDENTITIES = ("address", "forwarded", "agent", "file")
COOKIE_PREFIX = "cookie:"
# A part of a path that looks like an id: digits, long hexadecimal, anything with digits in it.
ID_LIKE = re.compile(r"[0-9]+|[0-9a-fA-F-]{16,}|\S*\d\S*")
# A token of a rule's path: a named part, a wildcard, literal text, or a single brace.
PATH_TOKEN = re.compile(r"\{(\w+)\}|(\*\*?)|([^{*]+)|(.)")
KEY_SOURCE = re.compile(r"\{\w+\}|\?[^=&]+")
Text = Annotated[str, Meta(min_length=1, max_length=500)]


class Rule(Struct, forbid_unknown_fields=True, frozen=True):
    """A rule: requests of this method, host and path are of this class."""

    path: Text  # `{sku}` matches and names one part of a path, `*` any text without `/`, `**` any text
    cls: Annotated[str, Meta(min_length=1, max_length=200)] = field(name="class")
    method: Annotated[str, Meta(pattern="^[A-Z]{1,20}$")] | None = None
    host: Text | None = None  # with `*` for any text, as in fnmatch
    key: str = ""  # where the affinity key is: `{sku}` a named part, `?depot` a query parameter
    tenant: str = ""
    body: Annotated[int, Meta(ge=0, le=MAX_BODY_BYTES)] | Literal["source", "size"] = "size"


class Mapping(Struct, forbid_unknown_fields=True, frozen=True):
    """The content of a rules file."""

    classes: dict[str, Class]
    rules: list[Rule]
    identity: list[str] = field(default_factory=lambda: ["forwarded", "address", "file"])
    salt: str = ""  # of the hashes of clients and keys; a random one each run where it is empty
    json: dict[str, str] = field(default_factory=dict)  # the paths of fields in JSON lines; `time_is = "end"`


class RulesError(ValueError):
    """A rules file can't be used; `faults` has a line for each reason."""

    def __init__(self, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Mapped(NamedTuple):
    """A request of a source with what the rules say of it."""

    entry: Entry
    client: int  # salted hash, 64 bits
    cls: int  # index of its class
    key: str  # salted hash, "" for none
    tenant: str
    body: bytes | int  # itself, or how many bytes of filler


@dataclass(slots=True)
class _CompiledRule:
    """A rule ready to be matched; at most one of `key_part` and `key_parameter` is not empty."""

    rule: Rule
    path: re.Pattern[str]
    host: re.Pattern[str] | None
    cls: int
    key_part: str  # a named part of the path
    key_parameter: str  # a query parameter

    @classmethod
    def compile(cls, rule: Rule, class_index: int) -> _CompiledRule:
        """Compile a rule that `parse` has checked."""
        return cls(
            rule,
            _compile_path(rule.path),
            re.compile(translate(rule.host), re.I) if rule.host else None,
            class_index,
            rule.key[1:-1] if rule.key[:1] == "{" else "",
            rule.key[1:] if rule.key[:1] == "?" else "",
        )

    def match(self, entry: Entry, path: str) -> re.Match[str] | None:
        """Return the match of the entry's path; None where path, method or host differ."""
        if self.rule.method and self.rule.method != entry.method:
            return None
        if self.host and not self.host.match(entry.host):
            return None
        return self.path.fullmatch(path)

    def key_of(self, match: re.Match[str], query: str) -> str:
        """Return the key's text, "" where the rule names none; raises FaultyError where the request lacks it."""
        if self.key_parameter:
            key = parameter(query, self.key_parameter)
            if not key:
                raise FaultyError("key", f"has no query parameter {self.key_parameter}")
            return key
        return match[self.key_part] if self.key_part else ""


def _compile_path(text: str) -> re.Pattern[str]:
    """Return the expression of a rule's path; raises re.error."""
    expression = ""
    for token in PATH_TOKEN.finditer(text):
        if token[1]:
            expression += f"(?P<{token[1]}>[^/]+)"
        elif token[2]:
            expression += ".*" if token[2] == "**" else "[^/]+"
        else:
            expression += re.escape(token[0])
    return re.compile(expression, re.S)


def parse(data: dict[str, Any]) -> Mapping:
    """Return the rules of a parsed rules file; raises RulesError with every fault."""
    faults: list[str] = []
    check_fields(data, Mapping, faults)
    if faults:
        raise RulesError(*faults)
    mapping = msgspec.convert(data, Mapping)
    _check_classes(mapping, faults)
    for index, rule in enumerate(mapping.rules):
        _check_rule(f"rules[{index}]", rule, mapping, faults)
    for index, identity in enumerate(mapping.identity):
        if identity not in IDENTITIES and not re.fullmatch(r"cookie(:[^\s;=]+)?", identity):
            known = ", ".join(IDENTITIES)
            faults.append(f"identity[{index}]: one of {known}, cookie or cookie:NAME, found {identity!r}")
    if faults:
        raise RulesError(*faults)
    return mapping


def _check_classes(mapping: Mapping, faults: list[str]) -> None:
    if not mapping.classes:
        faults.append("classes: at least one is wanted")
    for name, cls in mapping.classes.items():
        if not name.isascii() or not name or any(char in "/? \t\r\n" for char in name):
            faults.append(f"classes.{name}: a name is ASCII without '/', '?' and spaces")
        if cls.deadline < cls.aim:
            faults.append(f"classes.{name}.deadline: no less than the aim, {cls.aim:g}, found {cls.deadline:g}")


def _check_rule(where: str, rule: Rule, mapping: Mapping, faults: list[str]) -> None:
    if rule.cls not in mapping.classes:
        faults.append(f"{where}.class: one of {', '.join(mapping.classes)}, found {rule.cls!r}")
    try:
        path = _compile_path(rule.path)
    except re.error as error:
        faults.append(f"{where}.path: {error}")
        return
    if rule.path[:1] != "/":
        faults.append(f"{where}.path: begins with '/', found {rule.path!r}")
    if rule.key and not KEY_SOURCE.fullmatch(rule.key):
        faults.append(
            f"{where}.key: {{name}} of a part of the path, or ?name of a query parameter, found {rule.key!r}"
        )
    elif rule.key[:1] == "{" and rule.key[1:-1] not in path.groupindex:
        named = ", ".join(path.groupindex) or "nothing"
        faults.append(f"{where}.key: the path names {named}, found {rule.key!r}")
    if any(char in rule.tenant for char in "\r\n") or not rule.tenant.isascii():
        faults.append(f"{where}.tenant: plain ASCII, found {rule.tenant!r}")


def load(path: Path) -> Mapping:
    """Return the rules of a file; raises RulesError, also where the file can't be read."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except OSError as error:
        raise RulesError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise RulesError(f"{path}: not TOML: {error}") from None


def pattern_of(entry: Entry) -> str:
    """Return the method and the path of an unmatched request, with `{}` in place of ids."""
    path = entry.target.partition("?")[0]
    parts = [
        "{}" if ID_LIKE.fullmatch(part) else part[:MAX_PATTERN_PART_CHARS]
        for part in path.split("/")[:MAX_PATTERN_PARTS]
    ]
    return f"{entry.method} {'/'.join(parts)}"


class Mapper:
    """Maps the entries of a source by the first rule that matches.

    `names` has the classes by index, `by_class` the number of requests mapped to each, and `unmatched` the patterns
    of the requests that no rule matched, with their counts.

    :param salt: of all hashes, in place of the rules' own; the same salt gives the same clients in every worker and
        after a resume.
    """

    def __init__(self, mapping: Mapping, salt: str = "") -> None:
        self.mapping = mapping
        self.salt = (salt or mapping.salt or secrets.token_hex(16)).encode()[:MAX_SALT_BYTES]
        self.names = list(mapping.classes)
        self.unmatched: Counter[str] = Counter()
        self.by_class = [0] * len(self.names)
        self._rules = [_CompiledRule.compile(rule, self.names.index(rule.cls)) for rule in mapping.rules]
        self._clients: dict[str, int] = {}

    def _hash(self, kind: str, text: str) -> bytes:
        return blake2b(f"{kind}\0{text}".encode("utf-8", "replace"), digest_size=HASH_BYTES, key=self.salt).digest()

    def client_of(self, entry: Entry, file: str) -> int:
        """Return the hash of the first configured identity that the entry has; raises FaultyError for none."""
        for kind in self.mapping.identity:
            text = _identity_text(kind, entry, file)
            if text:
                return self._client_hash(kind, text)
        raise FaultyError("client", "has none of " + ", ".join(self.mapping.identity))

    def _client_hash(self, kind: str, text: str) -> int:
        client = self._clients.get(kind + text)
        if client is None:
            if len(self._clients) > MAX_CACHED_CLIENTS:
                self._clients.clear()
            client = int.from_bytes(self._hash(kind, text), "big")
            self._clients[kind + text] = client
        return client

    def map(self, entry: Entry, file: str) -> Mapped | None:
        """Return the mapped request; None where no rule matches.

        Raises FaultyError where the request lacks what its rule needs.
        """
        path, _, query = entry.target.partition("?")
        for compiled in self._rules:
            match = compiled.match(entry, path)
            if not match:
                continue
            client = self.client_of(entry, file)
            key = compiled.key_of(match, query)
            self.by_class[compiled.cls] += 1
            return Mapped(
                entry,
                client,
                compiled.cls,
                self._hash("key", key).hex() if key else "",
                compiled.rule.tenant,
                self._body(compiled.rule, entry, compiled.cls),
            )
        self._count_unmatched(entry)
        return None

    def _count_unmatched(self, entry: Entry) -> None:
        pattern = pattern_of(entry)
        if pattern not in self.unmatched and len(self.unmatched) >= MAX_UNMATCHED_PATTERNS:
            pattern = "others"
        self.unmatched[pattern] += 1

    def _body(self, rule: Rule, entry: Entry, cls: int) -> bytes | int:
        """Return the body to send, or the number of filler bytes; 0 for safe classes and unknown sizes.

        Raises FaultyError where the source lacks the body, or it is too long.
        """
        if self.mapping.classes[self.names[cls]].effect == "safe":
            return 0
        if isinstance(rule.body, int):
            return rule.body
        if rule.body == "source":
            if entry.body is None:
                raise FaultyError("body", "is not in the source")
            if len(entry.body) > MAX_BODY_BYTES:
                raise FaultyError("body", f"is longer than {MAX_BODY_BYTES} bytes")
            return entry.body
        if entry.size > MAX_BODY_BYTES:
            raise FaultyError("body", f"is longer than {MAX_BODY_BYTES} bytes")
        return max(0, entry.size)

    def method(self, cls: int) -> str:
        """Return the method of a class's requests; without a setting, the one that has the class's effect."""
        settings = self.mapping.classes[self.names[cls]]
        if settings.methods:
            return settings.methods[0]
        return "GET" if settings.effect == "safe" else "POST"


def _identity_text(kind: str, entry: Entry, file: str) -> str:
    """Return what identifies the client by an identity of the rules, "" where the entry lacks it."""
    if kind == "file":
        return file
    if kind == "cookie":
        return entry.cookie
    if kind.startswith(COOKIE_PREFIX):
        return cookie(entry.cookie, kind.removeprefix(COOKIE_PREFIX))
    return {"address": entry.address, "forwarded": entry.forwarded, "agent": entry.agent}[kind]


def cookie(header: str, name: str) -> str:
    """Return the value of one cookie of a Cookie header (RFC 6265, section 4.2), "" for none."""
    for pair in header.split(";"):
        found_name, equals, value = pair.partition("=")
        if equals and found_name.strip() == name:
            return value.strip()
    return ""


def parameter(query: str, name: str) -> str:
    """Return the value of one parameter of a query, as it is written; "" for none."""
    for pair in query.split("&"):
        found_name, equals, value = pair.partition("=")
        if equals and found_name == name:
            return value
    return ""
