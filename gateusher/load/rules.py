"""What a source's requests are to us: class, key, tenant, body and client, as a rules file (TOML) says.

A request that no rule names is not played; what such requests look like is listed with counts.  Who a client was is
only ever kept as a salted hash.
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

MOST_BODY = 65536  # bytes: what the protocol's bodies hold at most
MOST_PATTERNS = 1000  # unmatched patterns that are counted apart
IDENTITIES = ("address", "forwarded", "agent", "file")
# What looks like an id in a path: figures, long hex, anything with figures in it.
ID_LIKE = re.compile(r"[0-9]+|[0-9a-fA-F-]{16,}|\S*\d\S*")
WILD = re.compile(r"\{(\w+)\}|(\*\*?)|([^{*]+)|(.)")
Text = Annotated[str, Meta(min_length=1, max_length=500)]


class Rule(Struct, forbid_unknown_fields=True, frozen=True):
    """Requests of this method, host and path are of this class."""

    path: Text  # `/pallets/{sku}` names a part, `*` is any part, `**` any rest
    cls: Annotated[str, Meta(min_length=1, max_length=200)] = field(name="class")
    method: Annotated[str, Meta(pattern="^[A-Z]{1,20}$")] | None = None
    host: Text | None = None  # with `*` for anything
    key: str = ""  # what the request is about: `{sku}`, or `?depot` for a query parameter
    tenant: str = ""
    body: Annotated[int, Meta(ge=0, le=MOST_BODY)] | Literal["source", "size"] = "size"


class Mapping(Struct, forbid_unknown_fields=True, frozen=True):
    """A rules file."""

    classes: dict[str, Class]
    rules: list[Rule]
    identity: list[str] = field(default_factory=lambda: ["forwarded", "address", "file"])
    salt: str = ""  # of the hashes of clients and keys; a new one each run where it is empty
    json: dict[str, str] = field(default_factory=dict)  # where fields stand in JSON lines; `time_is = "end"`


class RulesError(ValueError):
    """A rules file can't be used; `faults` says each on a line."""

    def __init__(self, *faults: str) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class Mapped(NamedTuple):
    """A request as it will be played, of a client known by a hash alone."""

    entry: Entry
    client: int  # salted, 64 bits
    cls: int  # index of its class
    key: str  # salted hash, "" for none
    tenant: str
    body: bytes | int  # itself, or how many bytes of filler


@dataclass(slots=True)
class _Compiled:
    rule: Rule
    pattern: re.Pattern[str]
    host: re.Pattern[str] | None
    cls: int
    key: str  # a named part
    query: str  # or a query parameter


def _path(text: str) -> re.Pattern[str]:
    out = ""
    for match in WILD.finditer(text):
        if match[1]:
            out += f"(?P<{match[1]}>[^/]+)"
        elif match[2]:
            out += ".*" if match[2] == "**" else "[^/]+"
        else:
            out += re.escape(match[0])
    return re.compile(out, re.S)


def parse(data: dict[str, Any]) -> Mapping:
    """A rules file's content.  Raises RulesError with every fault."""
    faults: list[str] = []
    check_fields(data, Mapping, faults)
    if faults:
        raise RulesError(*faults)
    mapping = msgspec.convert(data, Mapping)
    if not mapping.classes:
        faults.append("classes: at least one is wanted")
    for name, cls in mapping.classes.items():
        if not name.isascii() or not name or any(c in "/? \t\r\n" for c in name):
            faults.append(f"classes.{name}: a name is ASCII without '/', '?' and spaces")
        if cls.deadline < cls.aim:
            faults.append(f"classes.{name}.deadline: no less than the aim, {cls.aim:g}, found {cls.deadline:g}")
    for i, rule in enumerate(mapping.rules):
        where = f"rules[{i}]"
        if rule.cls not in mapping.classes:
            faults.append(f"{where}.class: one of {', '.join(mapping.classes)}, found {rule.cls!r}")
        try:
            pattern = _path(rule.path)
        except re.error as error:
            faults.append(f"{where}.path: {error}")
            continue
        if rule.path[:1] != "/":
            faults.append(f"{where}.path: begins with '/', found {rule.path!r}")
        if rule.key and not re.fullmatch(r"\{\w+\}|\?[^=&]+", rule.key):
            faults.append(
                f"{where}.key: {{name}} of a part of the path, or ?name of a query parameter, found {rule.key!r}"
            )
        elif rule.key[:1] == "{" and rule.key[1:-1] not in pattern.groupindex:
            named = ", ".join(pattern.groupindex) or "nothing"
            faults.append(f"{where}.key: the path names {named}, found {rule.key!r}")
        if any(c in rule.tenant for c in "\r\n") or not rule.tenant.isascii():
            faults.append(f"{where}.tenant: plain ASCII, found {rule.tenant!r}")
    for i, kind in enumerate(mapping.identity):
        if kind not in IDENTITIES and not re.fullmatch(r"cookie(:[^\s;=]+)?", kind):
            faults.append(f"identity[{i}]: one of {', '.join(IDENTITIES)}, cookie or cookie:NAME, found {kind!r}")
    if faults:
        raise RulesError(*faults)
    return mapping


def load(path: Path) -> Mapping:
    """Raises RulesError, also where the file can't be read."""
    try:
        return parse(tomllib.loads(path.read_text()))
    except OSError as error:
        raise RulesError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise RulesError(f"{path}: not TOML: {error}") from None


def pattern_of(entry: Entry) -> str:
    """What an unmatched request is listed as: the method and its path with ids taken out."""
    path = entry.target.partition("?")[0]
    parts = ["{}" if ID_LIKE.fullmatch(part) else part[:40] for part in path.split("/")[:8]]
    return f"{entry.method} {'/'.join(parts)}"


class Mapper:
    """Entries as requests of ours; `unmatched` counts those that no rule names.

    :param salt: of all hashes; the same salt gives the same clients in every worker and after a resume.
    """

    def __init__(self, mapping: Mapping, salt: str = "") -> None:
        self.mapping = mapping
        self.salt = (salt or mapping.salt or secrets.token_hex(16)).encode()[:64]
        self.names = list(mapping.classes)
        self.unmatched: Counter[str] = Counter()
        self.by_class = [0] * len(self.names)
        index = {name: i for i, name in enumerate(self.names)}
        self._rules = [
            _Compiled(
                rule,
                _path(rule.path),
                re.compile(translate(rule.host), re.I) if rule.host else None,
                index[rule.cls],
                rule.key[1:-1] if rule.key[:1] == "{" else "",
                rule.key[1:] if rule.key[:1] == "?" else "",
            )
            for rule in mapping.rules
        ]
        self._clients: dict[str, int] = {}

    def _hash(self, kind: str, text: str) -> bytes:
        return blake2b(f"{kind}\0{text}".encode("utf-8", "replace"), digest_size=8, key=self.salt).digest()

    def client_of(self, entry: Entry, file: str) -> int:
        """The first identity of the list that the entry has.  FaultyError where it has none of them."""
        for kind in self.mapping.identity:
            if kind == "file":
                text = file
            elif kind == "cookie":
                text = entry.cookie
            elif kind.startswith("cookie:"):
                text = cookie(entry.cookie, kind[7:])
            else:
                text = {"address": entry.address, "forwarded": entry.forwarded, "agent": entry.agent}[kind]
            if text:
                found = self._clients.get(kind + text)
                if found is None:
                    if len(self._clients) > 50_000:
                        self._clients.clear()  # only a cache: the hash is the same each time
                    found = int.from_bytes(self._hash(kind, text), "big")
                    self._clients[kind + text] = found
                return found
        raise FaultyError("client", "has none of " + ", ".join(self.mapping.identity))

    def map(self, entry: Entry, file: str) -> Mapped | None:
        """None where no rule names it.  FaultyError where the rule wants what the entry hasn't."""
        path, _, query = entry.target.partition("?")
        for compiled in self._rules:
            rule = compiled.rule
            if rule.method and rule.method != entry.method:
                continue
            if compiled.host and not compiled.host.match(entry.host):
                continue
            match = compiled.pattern.fullmatch(path)
            if not match:
                continue
            client = self.client_of(entry, file)
            key = match[compiled.key] if compiled.key else ""
            if compiled.query:
                key = parameter(query, compiled.query)
                if not key:
                    raise FaultyError("key", f"has no query parameter {compiled.query}")
            self.by_class[compiled.cls] += 1
            return Mapped(
                entry,
                client,
                compiled.cls,
                self._hash("key", key).hex() if key else "",
                rule.tenant,
                self._body(rule, entry, compiled.cls),
            )
        pattern = pattern_of(entry)
        if pattern not in self.unmatched and len(self.unmatched) >= MOST_PATTERNS:
            pattern = "others"
        self.unmatched[pattern] += 1
        return None

    def _body(self, rule: Rule, entry: Entry, cls: int) -> bytes | int:
        """A safe class has no body.  `size`: filler as long as the source's, where it says how long that was."""
        if self.mapping.classes[self.names[cls]].effect == "safe":
            return 0
        if isinstance(rule.body, int):
            return rule.body
        if rule.body == "source":
            if entry.body is None:
                raise FaultyError("body", "is not in the source")
            if len(entry.body) > MOST_BODY:
                raise FaultyError("body", f"is longer than {MOST_BODY} bytes")
            return entry.body
        if entry.size > MOST_BODY:
            raise FaultyError("body", f"is longer than {MOST_BODY} bytes")
        return max(0, entry.size)

    def method(self, cls: int) -> str:
        """What requests of a class are sent with: the protocol tells effects by the method."""
        settings = self.mapping.classes[self.names[cls]]
        if settings.methods:
            return settings.methods[0]
        return "GET" if settings.effect == "safe" else "POST"


def cookie(header: str, name: str) -> str:
    """One cookie of a Cookie header, "" where it isn't there."""
    for part in header.split(";"):
        own, mark, value = part.partition("=")
        if mark and own.strip() == name:
            return value.strip()
    return ""


def parameter(query: str, name: str) -> str:
    for part in query.split("&"):
        own, mark, value = part.partition("=")
        if mark and own == name:
            return value
    return ""
