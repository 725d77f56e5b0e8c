"""A router's link to control: lease, fleet view, decisions, reports, announcements.

Begin with :mod:`.control_link`; what the request paths use of it is the abstract class in
:mod:`.fleet_access`. Imported by the router and the simulation.
"""
