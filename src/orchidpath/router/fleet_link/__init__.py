"""A router's link to control: lease, fleet view, decisions, reports, announcements.

Begin with :mod:`.control_link`. Request paths use it through the abstract class in
:mod:`.fleet_access`. Imported by the router and the simulation.
"""
