Feature: the number of runs agrees with the outcome when regions are partitioned

  Background:
    Given a service dispatch with 2 endpoints in two regions

  Scenario Outline: the link between the regions is cut and restored
    When bookings are sent to dispatch-0 continuously
    And bookings are sent to dispatch-1 continuously
    And the link between the regions is cut <direction>
    And 1000 ms pass
    Then each region has served bookings since the link was cut
    When the link is restored
    And 500 ms pass
    Then the number of runs of every booking agrees with its outcome

    Examples:
      | direction          |
      | in both directions |
      | for responses      |
