"""List of all subcommands."""

from __future__ import annotations

from apricotcart.commands.api import Command
from apricotcart.commands.apply import ApplyCommand
from apricotcart.commands.check import CheckCommand
from apricotcart.commands.control import ControlCommand
from apricotcart.commands.delete import DeleteCommand
from apricotcart.commands.diff import DiffCommand
from apricotcart.commands.entry import EntryCommand
from apricotcart.commands.explain import ExplainCommand
from apricotcart.commands.fleet import CoordinatorCommand, GatewayCommand
from apricotcart.commands.get import GetCommand
from apricotcart.commands.init import InitCommand
from apricotcart.commands.key import KeyCommand
from apricotcart.commands.list_resources import ListCommand
from apricotcart.commands.members import MembersCommand
from apricotcart.commands.report import ReportCommand
from apricotcart.commands.status import StatusCommand
from apricotcart.commands.trace import TraceCommand
from apricotcart.commands.version import VersionCommand
from apricotcart.commands.watch import WatchCommand

COMMANDS: tuple[type[Command], ...] = (
    EntryCommand,
    ControlCommand,
    GatewayCommand,
    CoordinatorCommand,
    InitCommand,
    CheckCommand,
    ApplyCommand,
    GetCommand,
    ListCommand,
    DeleteCommand,
    DiffCommand,
    WatchCommand,
    StatusCommand,
    ReportCommand,
    MembersCommand,
    KeyCommand,
    TraceCommand,
    ExplainCommand,
    VersionCommand,
)
