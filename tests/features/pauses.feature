Feature: a process that pauses breaks no promise when it wakes

  Background:
    Given dispatch on 2 endpoints in two regions
    And the platform lists dispatch-0 as leaving
    And a booking sent to dispatch-0 is answered served

  Scenario: the far daemon pauses for less than the deadline
    When the daemon of dispatch-1 is paused
    And a booking is sent to dispatch-0
    And 700 ms pass
    And the daemon of dispatch-1 wakes
    Then the booking is answered served, not-run or unknown
    And the booking ran as often as its answer allows

  Scenario: the far daemon pauses past the deadline
    When the daemon of dispatch-1 is paused
    And a booking is sent to dispatch-0
    Then the booking is answered unknown
    When the daemon of dispatch-1 wakes
    Then the booking ran at most once
    And its ticket sent to dispatch-0 agrees with its runs

  Scenario: the near daemon pauses past the deadline
    Given a request takes 300 ms on dispatch-1
    When a booking is sent to dispatch-0
    And the booking runs on dispatch-1
    And the daemon of dispatch-0 is paused
    And 2500 ms pass
    And the daemon of dispatch-0 wakes
    Then the booking is answered served or unknown
    And the booking ran 1 times

  Scenario: the far daemon pauses while the booking waits for a slot
    Given a request takes 800 ms on dispatch-1
    When 3 bookings are sent to dispatch-0
    And the booking runs on dispatch-1
    And the daemon of dispatch-1 is paused
    And 2500 ms pass
    And the daemon of dispatch-1 wakes
    Then the booking is answered served, not-run or unknown
    And the booking ran as often as its answer allows
