Feature: regions that lose each other keep every promise

  Background:
    Given dispatch on 2 endpoints in two regions

  Scenario Outline: the regions lose each other and meet again
    When bookings keep coming to dispatch-0
    And bookings keep coming to dispatch-1
    And the regions lose each other <way>
    And 1000 ms pass
    Then each part has served bookings since
    When the link is whole again
    And 500 ms pass
    Then every booking that came ran as often as its answer allows

    Examples:
      | way         |
      | both ways   |
      | for answers |
